"""Signals to real processes of the fleet's programs while they start."""

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
TIMEOUT_S = 60.0


def start_until_settings_are_read(program: str, settings: Path) -> subprocess.Popen[bytes]:
    """Start a program that blocks on reading its settings from a named pipe."""
    os.mkfifo(settings)
    return subprocess.Popen(
        [sys.executable, "-m", "roselink", program],
        cwd=ROOT,
        env={"PATH": "/usr/bin", ENVIRONMENT_VARIABLE: str(settings)},
        stderr=subprocess.PIPE,
    )


@pytest.mark.parametrize("program", ["controller", "router"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_sigterm_and_sigint_during_startup_exit_with_a_log_line(
    program: str, number: signal.Signals, tmp_path: Path
) -> None:
    """Regression: under load, a controller stopped shortly after its start exited without a log
    line.
    """
    settings = tmp_path / "boot.json"
    process = start_until_settings_are_read(program, settings)
    with settings.open("wb"):  # opens once the program reads it
        process.send_signal(number)
        _, errors = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0
    (line,) = errors.decode().splitlines()
    if program == "controller":
        event = json.loads(line)
        assert (event["event"], event["signal"]) == ("ended_while_starting", number.name)
    else:
        assert line.endswith(f"roselink.router: ended_while_starting signal={number.name}")


@pytest.mark.parametrize("program", ["controller", "router"])
def test_sighup_during_startup_does_not_end_the_program(program: str, tmp_path: Path) -> None:
    settings = tmp_path / "boot.json"
    process = start_until_settings_are_read(program, settings)
    with settings.open("wb") as pipe:
        process.send_signal(signal.SIGHUP)
        pipe.write(b"no settings")
    _, errors = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 2
    assert errors.startswith(b"settings: ")
