"""Signals to a program of the fleet that still starts, as real processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from roselink.model.settings import ENVIRONMENT_VARIABLE

ROOT = Path(__file__).resolve().parents[2]
BOUND_S = 60.0


def start_up_to_its_settings(program: str, settings: Path) -> subprocess.Popen[bytes]:
    """A program that reads its settings from a pipe, and waits there for the first byte."""
    os.mkfifo(settings)
    return subprocess.Popen(
        [sys.executable, "-m", "roselink", program],
        cwd=ROOT,
        env={"PATH": "/usr/bin", ENVIRONMENT_VARIABLE: str(settings)},
        stderr=subprocess.PIPE,
    )


@pytest.mark.parametrize("program", ["controller", "router"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_program_that_still_starts_says_that_it_ends(
    program: str, number: signal.Signals, tmp_path: Path
) -> None:
    """Beside load a controller that was restarted a moment before ended without a word."""
    settings = tmp_path / "boot.json"
    process = start_up_to_its_settings(program, settings)
    with settings.open("wb"):  # opens once the program reads it
        process.send_signal(number)
        _, errors = process.communicate(timeout=BOUND_S)
    assert process.returncode == 0
    (line,) = errors.decode().splitlines()
    if program == "controller":
        event = json.loads(line)
        assert (event["event"], event["signal"]) == ("ended_while_starting", number.name)
    else:
        assert line.endswith(f"roselink.router: ended_while_starting signal={number.name}")


@pytest.mark.parametrize("program", ["controller", "router"])
def test_a_reload_does_not_end_a_program_that_still_starts(program: str, tmp_path: Path) -> None:
    settings = tmp_path / "boot.json"
    process = start_up_to_its_settings(program, settings)
    with settings.open("wb") as pipe:
        process.send_signal(signal.SIGHUP)
        pipe.write(b"no settings")
    _, errors = process.communicate(timeout=BOUND_S)
    assert process.returncode == 2
    assert errors.startswith(b"settings: ")
