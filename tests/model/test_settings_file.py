"""Reading and validation of a process's settings file; every fault names its key."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from roselink.__main__ import EXIT_BAD_SETTINGS, main
from roselink.model.settings import (
    ENVIRONMENT_VARIABLE,
    SettingsError,
    load_settings,
    read_settings,
)

if TYPE_CHECKING:
    from pathlib import Path


def document() -> dict[str, Any]:
    return {
        "node_name": "edge-a-1",
        "role": "router",
        "ip": "127.0.0.1",
        "zone": "a",
        "region": "r",
        "bind": {"http": "127.0.0.1:8360", "readiness": "127.0.0.1:8365"},
        "port_range": [7500, 7515],
        "seeds": ["127.0.0.2:8367", "127.0.0.3:8367"],
        "bootstrap": True,
        "counts_for_quorum": False,
        "limits": {"cpu_share": 0.5, "memory_mb": 300, "max_fds": 4100},
        "data_dir": None,
        "heartbeat_ms": 1200,
        "fault_tolerance": {"nodes": 2},
        "thresholds": {"contact_ms": 4000, "revocation_strict": False, "of_later": 1},
        "cloud_api": {"address": "127.0.0.4:8361", "rate_per_s": 40.0, "max_lag_ms": 800},
        "of_later": {"a": 1},
    }


def test_complete_document_is_read_with_defaults_for_missing_thresholds() -> None:
    settings = read_settings(document())
    assert settings.seed_peers() == (("127.0.0.2", 7500), ("127.0.0.3", 7500))
    assert settings.thresholds.contact_ms == 4000
    assert settings.thresholds.revocation_strict is False
    assert settings.thresholds.drain_ms == 3000  # the default
    assert settings.tolerated_nodes == 2
    assert settings.data_dir is None
    assert settings.platform is not None
    assert settings.platform.address == ("127.0.0.4", 8361)


@pytest.mark.parametrize(
    ("key", "value", "fault"),
    [
        ("node_name", None, "node_name: missing"),
        ("node_name", 5, "node_name: must be text"),
        ("ip", "", "ip: must be text"),
        ("seeds", "127.0.0.1:1", "seeds: must be a list"),
        ("seeds", ["127.0.0.1"], "seeds: needs address:port, not '127.0.0.1'"),
        ("seeds", ["127.0.0.1:99999"], "seeds: needs address:port, not '127.0.0.1:99999'"),
        ("port_range", [5], "port_range: must be two ports, the lower first"),
        ("port_range", [9, 5], "port_range: must be two ports, the lower first"),
        ("bootstrap", "yes", "bootstrap: must be true or false"),
        ("limits", None, "limits.: must be an object"),
        ("limits", {"memory_mb": "x"}, "limits.memory_mb: must be a number"),
        ("limits", {"max_fds": 3}, "limits.max_fds: must be 256 at least"),
        ("thresholds", {"contact_ms": -1}, "thresholds.contact_ms: must be 0 at least"),
        ("bind", {"http": "here"}, "bind.http: needs address:port, not 'here'"),
        ("cloud_api", {"address": 7}, "cloud_api.address: needs address:port, not 7"),
    ],
)
def test_invalid_value_is_reported_by_its_key(key: str, value: Any, fault: str) -> None:
    changed = document() | {key: value}
    with pytest.raises(SettingsError) as caught:
        read_settings(changed)
    assert fault in caught.value.faults


def test_all_faults_are_reported_together() -> None:
    with pytest.raises(SettingsError) as caught:
        read_settings(document() | {"ip": None, "zone": 3, "seeds": None})
    assert len(caught.value.faults) == 3


@pytest.mark.parametrize("text", ["", "{", "[]", "7"])
def test_file_without_a_json_object_is_rejected(tmp_path: Path, text: str) -> None:
    path = tmp_path / "boot.json"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_settings(str(path))


def test_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings(str(tmp_path / "none.json"))


@pytest.mark.parametrize("command", ["router", "controller"])
def test_program_with_invalid_settings_prints_the_fault_and_exits(
    command: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(document() | {"ip": None}))
    monkeypatch.setenv(ENVIRONMENT_VARIABLE, str(path))
    assert main([command]) == EXIT_BAD_SETTINGS
    assert capsys.readouterr().err == "settings: ip: missing [MDL-001]\n"
