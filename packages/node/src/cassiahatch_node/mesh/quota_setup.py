"""Wiring of the quotas of teams."""

from __future__ import annotations

import random
from collections.abc import Callable

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.ports import FeedStore
from cassiahatch_kernel.teams import TeamTable
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.quota_candidates import QuotaCandidates
from cassiahatch_node.mesh.quota_keepers import QuotaKeepers
from cassiahatch_node.mesh.settings import MeshSettings
from cassiahatch_node.mesh.team_quotas import TeamQuotas
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.quota_tenure import Candidate
from cassiahatch_policies.team_quota import QuotaBound

PROCESS_BITS = 53
"""Size of the random number of a process: the largest that JSON readers keep exactly."""


def make_team_quotas(
    settings: MeshSettings,
    store: FeedStore,
    directory: Directory,
    get_teams: Callable[[], TeamTable],
    clock: Clock,
    random_source: random.Random,
    metrics: Metrics,
    journal: Journal,
) -> TeamQuotas | None:
    """Return the node's part in the quotas, or None if they are not enforced."""
    section, node, plugins = settings.quotas, settings.node, settings.plugins
    if section is None:
        return None
    bound = QuotaBound(section.window_s, section.overrun, section.slack)
    process = random.SystemRandom().getrandbits(PROCESS_BITS)
    own = Candidate(
        node.id, node.advertised or node.peers, process, node.is_first_start
    )
    candidates = QuotaCandidates(node.id, directory, clock)
    keepers = QuotaKeepers(
        own,
        store,
        candidates,
        get_teams,
        bound,
        plugins.team_bucket,
        clock,
        random_source,
        metrics,
        journal,
    )
    return TeamQuotas(
        node.id,
        keepers,
        candidates,
        directory,
        get_teams,
        plugins.team_allowance,
        clock,
        random_source,
        metrics,
    )
