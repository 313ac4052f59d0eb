from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahatch_kernel.plan_changes import apply_change, diff_lists
from cassiahatch_kernel.plans import AcceptedLists, Plan, PlanLists
from cassiahatch_node.control.lists import (
    Accepted,
    Superseded,
    commit_lists,
    read_accepted,
)
from cassiahatch_standins.site import PEER_KEY, make_customer
from fakes import FakeObjects, FakeTable
from fuzzing import run_machine

PLAN = Plan(rate=5, burst=9)


def make_lists(rate: float) -> PlanLists:
    return PlanLists({"a": make_customer("a", "p")}, {"p": Plan(rate, burst=2 * rate)})


# Hypothesis seeds the examples with the source of this class, except its comments: a
# changed name or docstring in it gives other examples.
class ListsMachine(RuleBasedStateMachine):
    """Operators edit at once while answers are lost and writes arrive late."""

    def __init__(self) -> None:
        super().__init__()
        self.table, self.objects = FakeTable(), FakeObjects()
        self.views = dict.fromkeys(("ana", "beto"), AcceptedLists(0, "", PlanLists()))
        self.accepted: dict[int, PlanLists] = {}
        self.count = 0
        self.seen = 0

    def do(self, work):
        return asyncio.run(work)

    @rule(who=strategies.sampled_from(["ana", "beto"]))
    def show(self, who):
        self.views[who] = self.do(read_accepted(self.table, self.objects))

    @rule(
        who=strategies.sampled_from(["ana", "beto"]),
        fault=strategies.sampled_from(["none", "lose_next", "delay_next"]),
    )
    def apply(self, who, fault):
        self.count += 1
        lists = make_lists(self.count)
        base = self.views[who].version
        setattr(self.table, fault, True)
        result = self.do(
            commit_lists(self.table, self.objects, base, lists, f"c{self.count}")
        )
        setattr(self.table, fault, False)
        if isinstance(result, Accepted):
            assert result.lists.version not in self.accepted, "an edit was lost"
            self.accepted[result.lists.version] = lists
            self.views[who] = result.lists

    @rule()
    def deliver_late(self):
        self.table.deliver_late()

    @invariant()
    def nothing_reverts(self):
        current = self.do(read_accepted(self.table, self.objects))
        assert current.version >= self.seen
        self.seen = current.version
        if current.version in self.accepted:
            assert current.lists == self.accepted[current.version]


def test_concurrent_edits_are_neither_lost_nor_reverted():
    run_machine(ListsMachine, examples=60, steps=30)


@pytest.mark.parametrize("fault", ["none", "lose_next", "delay_next"])
def test_second_of_two_concurrent_commits_is_superseded(fault):
    table, objects = FakeTable(), FakeObjects()
    setattr(table, fault, True)
    first = asyncio.run(commit_lists(table, objects, 0, make_lists(1), "first"))
    second = asyncio.run(commit_lists(table, objects, 0, make_lists(2), "second"))
    assert isinstance(first, Accepted)
    assert isinstance(second, Superseded)
    assert second.current.change_id == "first"


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (PlanLists(), make_lists(1)),
        (make_lists(1), make_lists(2)),
        (make_lists(1), PlanLists()),
    ],
)
def test_change_applies_only_to_its_base_version(old, new):
    before, after = AcceptedLists(3, "x", old), AcceptedLists(4, "y", new)
    change = diff_lists(before, after)
    assert apply_change(before, change) == after
    assert apply_change(AcceptedLists(3, "other", old), change) is None
    assert apply_change(after, change) is None


def write_settings(site, folder: Path) -> Path:
    path = folder / "operator.toml"
    nodes = msgspec.json.encode([vm.peer_address for vm in site.vms[:2]]).decode()
    path.write_text(
        f'table = "{site.platform_url}"\nobjects = "{site.platform_url}"\n'
        f'peer_key = "{PEER_KEY}"\nnodes = {nodes}\n'
    )
    return path


def run_command(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = Path(sys.executable).with_name("cassiahatch")
    return subprocess.run(
        [str(command), *arguments],
        capture_output=True,
        text=True,
        cwd=folder,
        timeout=60,
    )


def test_edit_takes_effect_and_an_outdated_edit_conflicts(hielo_sur, tmp_path):
    site = hielo_sur.site
    write_settings(site, tmp_path)
    for folder in ("ana", "beto"):
        assert run_command(tmp_path, "plans", "show", folder).returncode == 0
    plans = tmp_path / "ana" / "plans.toml"
    plans.write_text(plans.read_text().replace("400", "401"))
    assert "401" in run_command(tmp_path, "plans", "diff", "ana").stdout
    applied = run_command(tmp_path, "plans", "apply", "ana")
    assert (applied.returncode, applied.stderr) == (0, "")
    assert "in force on 8 of 8 nodes" in applied.stdout
    conflict = run_command(tmp_path, "plans", "apply", "beto")
    assert conflict.returncode == 3
    assert "conflict" in conflict.stdout


@pytest.mark.parametrize(
    ("name", "text", "message"),
    [
        ("plans.toml", "[plans.x]\nrate = 0\nburst = 1\n", "plans.x.rate"),
        ("plans.toml", "[plans.x]\nrate = 9\nburst = 1\n", "plans.x.burst"),
        ("plans.toml", "[plans.x]\nrates = 1\n", "unknown field `rates`"),
        ("customers.toml", "[customers.x]\nplan = 'no'\nkey_sha256 = ''\n", "no plan"),
        ("customers.toml", "not toml", "customers.toml"),
    ],
)
def test_invalid_lists_are_rejected_with_file_and_key(tmp_path, name, text, message):
    for other in ("plans.toml", "customers.toml"):
        (tmp_path / other).write_text("")
    (tmp_path / name).write_text(text)
    result = run_command(tmp_path, "plans", "check", ".")
    assert result.returncode == 2
    assert message in result.stderr
    assert "bad_plan_lists" in result.stderr


def test_status_shows_ticket_categories_and_trace_all_spans(hielo_sur, tmp_path):
    site = hielo_sur.site
    write_settings(site, tmp_path)
    response = hielo_sur.run(
        site.request(site.vms[0], "GET", "/queue-status/overview?nonce=n", "tower")
    )
    request_id = response.headers["Cassiahatch-Request-Id"]
    status = run_command(tmp_path, "status")
    assert status.returncode == 0
    assert "double spray" in status.stdout
    spans = msgspec.json.decode(
        run_command(tmp_path, "--json", "trace", request_id).stdout
    )
    assert len(spans) == 8
    assert len({span["trace_id"] for span in spans}) == 1
