from __future__ import annotations

from pathlib import Path

import pytest

from cassiahatch_node.settings import SettingsError, load_settings

EXAMPLES = Path(__file__).parent.parent / "examples"
VALID_SETTINGS = (EXAMPLES / "hielo-sur" / "node.toml").read_text()


@pytest.mark.parametrize("name", ["hielo-sur", "state-bridal-agency"])
def test_examples_are_accepted(name):
    load_settings(EXAMPLES / name / "node.toml")


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("retries = 3", "retrys = 3", "retrys"),
        ("retries = 3", 'retries = "3"', "$.calls.retries"),
        ("retries = 3", "retries = 101", "$.calls.retries"),
        ("caller_port = 7100", "caller_port = 0", "$.node.caller_port"),
        ("caller_port = 7100", "caller_port = 7300", "ports must differ"),
        ('host = "127.0.0.1"', 'host = "a host"', "$.node.host"),
        ("127.0.0.1:7301", "127.0.0.1:99999", "$.peers.seeds[1]"),
        ("replace-this-secret", "short", "$.peers.key"),
        ("[node]", "[node", "not TOML"),
    ],
)
def test_invalid_setting_is_reported_with_key_and_file(tmp_path, old, new, message):
    path = tmp_path / "node.toml"
    path.write_text(VALID_SETTINGS.replace(old, new, 1))
    with pytest.raises(SettingsError) as raised:
        load_settings(path)
    assert message in raised.value.detail
    assert str(path) in raised.value.detail
