"""`check`: which files pass, and how each fault is printed."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from roselink.__main__ import main
from roselink.cli import EXIT_FAULTS
from tests.controller.test_validation import document as configuration
from tests.controller.test_validation import route
from tests.model.test_settings_file import document as settings

if TYPE_CHECKING:
    from pathlib import Path


def play(folder: Path, content: bytes) -> int:
    path = folder / "file.json"
    path.write_bytes(content)
    return main(["check", str(path)])


@pytest.mark.parametrize("value", [configuration(), settings()], ids=["configuration", "settings"])
def test_what_is_valid_passes_in_silence(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], value: dict[str, Any]
) -> None:
    assert play(tmp_path, json.dumps(value).encode()) == 0
    assert capsys.readouterr() == ("", "")


@pytest.mark.parametrize(
    ("value", "paths"),
    [
        (settings() | {"ip": 5, "seeds": ["a"]}, ["ip:", "seeds:"]),
        (configuration(generation="x"), ["generation:"]),
        (
            configuration(routes=[route(timeout_ms=0), route(name="r-9")]),
            ["routes[0].timeout_ms:", "routes["],
        ),
        (configuration(routes=[route(service="unknown")]), ["routes[0]"]),
        ([], [""]),
    ],
)
def test_every_fault_is_printed_with_its_path(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], value: object, paths: list[str]
) -> None:
    assert play(tmp_path, json.dumps(value).encode()) == EXIT_FAULTS
    out, err = capsys.readouterr()
    assert out == ""
    lines = err.splitlines()
    for path in paths:
        assert any(line.startswith(path) for line in lines), lines


@pytest.mark.parametrize("content", [b"", b"{", b"\xff\xfe\x00", b"[" * 100_000])
def test_what_is_no_json_is_a_fault(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], content: bytes
) -> None:
    assert play(tmp_path, content) == EXIT_FAULTS
    assert "is not JSON" in capsys.readouterr().err


def test_a_file_that_is_not_there_is_a_fault(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["check", str(tmp_path / "none.json")]) == EXIT_FAULTS
    assert "cannot be read" in capsys.readouterr().err


@pytest.mark.parametrize(
    "arguments", [[], ["no-such-command"], ["check"], ["lab", "--routers", "x"]]
)
def test_a_command_line_that_cannot_be_read_ends_with_2(arguments: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    assert ended.value.code == EXIT_FAULTS


@pytest.mark.parametrize(
    "arguments", [["--routers", "0"], ["--routers", "101"], ["--clients", "0"]]
)
def test_a_lab_that_cannot_be_is_refused(arguments: list[str]) -> None:
    assert main(["lab", *arguments]) == EXIT_FAULTS


def test_a_lab_does_not_write_into_a_folder_that_is_there(tmp_path: Path) -> None:
    assert main(["lab", "--folder", str(tmp_path)]) == EXIT_FAULTS


def test_the_gateway_in_service_is_a_command(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("GW_CONFIG", "/nowhere/config.json")
    assert main(["gateway"]) == EXIT_FAULTS
    assert "roselink.gateway: " in capsys.readouterr().err
