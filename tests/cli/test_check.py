"""The command `check`, and refusals of the other commands' options."""

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


def run_check(folder: Path, content: bytes) -> int:
    path = folder / "file.json"
    path.write_bytes(content)
    return main(["check", str(path)])


@pytest.mark.parametrize("value", [configuration(), settings()], ids=["configuration", "settings"])
def test_a_valid_file_passes_without_output(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], value: dict[str, Any]
) -> None:
    assert run_check(tmp_path, json.dumps(value).encode()) == 0
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
    assert run_check(tmp_path, json.dumps(value).encode()) == EXIT_FAULTS
    out, err = capsys.readouterr()
    assert out == ""
    lines = err.splitlines()
    for path in paths:
        assert any(line.startswith(path) for line in lines), lines


@pytest.mark.parametrize("content", [b"", b"{", b"\xff\xfe\x00", b"[" * 100_000])
def test_a_file_that_is_not_json_is_a_fault(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], content: bytes
) -> None:
    assert run_check(tmp_path, content) == EXIT_FAULTS
    assert "is not JSON" in capsys.readouterr().err


def test_a_missing_file_is_a_fault(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", str(tmp_path / "none.json")]) == EXIT_FAULTS
    assert "cannot be read" in capsys.readouterr().err


@pytest.mark.parametrize(
    "arguments", [[], ["no-such-command"], ["check"], ["lab", "--routers", "x"]]
)
def test_an_invalid_command_line_exits_with_status_2(arguments: list[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    assert exit_info.value.code == EXIT_FAULTS


@pytest.mark.parametrize(
    "arguments", [["--routers", "0"], ["--routers", "101"], ["--clients", "0"]]
)
def test_lab_options_out_of_range_are_refused(arguments: list[str]) -> None:
    assert main(["lab", *arguments]) == EXIT_FAULTS


def test_the_lab_refuses_an_existing_folder(tmp_path: Path) -> None:
    assert main(["lab", "--folder", str(tmp_path)]) == EXIT_FAULTS


def test_the_gateway_command_runs_the_gateway_program(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("GW_CONFIG", "/nowhere/config.json")
    assert main(["gateway"]) == EXIT_FAULTS
    assert "roselink.gateway: " in capsys.readouterr().err
