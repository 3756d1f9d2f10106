"""The lab started from the command line: its processes serve, are killed and stop."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
from asyncio.subprocess import PIPE, STDOUT, Process
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 60.0
ADDITIONAL_REQUESTS = 15

_COUNTS_PATTERN = re.compile(r"served (\d+) refused (\d+) failed (\d+)")

_KILLED_PATTERN = re.compile(r"killing (controller-\d)")


class LabProcess:
    """A lab process with its output lines and the counts in the newest status line."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.lines: list[str] = []
        self.served = self.refused = self.failed = 0

    async def read_line(self) -> str:
        """Read the next line of output."""
        assert self.process.stdout is not None
        text = (await self.process.stdout.readline()).decode()
        assert text, f"the lab ended early: {self.lines}"
        self.lines.append(text)
        if found := _COUNTS_PATTERN.search(text):
            self.served, self.refused, self.failed = map(int, found.groups())
        return text

    async def read_until(self, text: str) -> str:
        """Read up to the next line that contains a text, and return that line."""
        while text not in (line := await self.read_line()):
            pass
        return line

    async def wait_for_event(self, log: Path, event: str, times: int) -> None:
        """Read lines until an event is in a machine's log a number of times."""
        while count_of(event, log) < times:
            await self.read_line()

    async def wait_for_more_requests(self) -> None:
        """Read lines until `ADDITIONAL_REQUESTS` more requests have been served."""
        target = self.served + ADDITIONAL_REQUESTS
        while self.served < target:
            await self.read_line()

    async def stop(self) -> None:
        """Stop the lab as Ctrl-C does, and check that all its processes have ended."""
        self.process.send_signal(signal.SIGINT)
        await self.read_until("ended:")
        assert await self.process.wait() == 0
        pids = [int(pid) for line in self.lines for pid in re.findall(r"pid (\d+)$", line)]
        assert len(pids) >= 6
        for pid in pids:
            with pytest.raises(ProcessLookupError):
                os.kill(pid, 0)


def count_of(event: str, log: Path) -> int:
    """The number of occurrences of an event in a log."""
    return log.read_text().count(event)


async def start_lab(*arguments: str) -> LabProcess:
    """Start a lab in a process of its own."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "roselink", "lab", *arguments), cwd=ROOT, stdout=PIPE, stderr=STDOUT
    )
    return LabProcess(process)


def test_fleet_serves_after_the_loss_of_a_gateway_and_the_tail_and_stops_cleanly(
    tmp_path: Path,
) -> None:
    folder = tmp_path / "lab"

    async def run_lab() -> LabProcess:
        async with asyncio.timeout(TIMEOUT_S):
            lab = await start_lab("--kill", "--folder", str(folder))
            try:
                await lab.read_until("serving")
                await lab.read_until("killing router")
                killed = _KILLED_PATTERN.findall(await lab.read_until("killing controller"))[0]
                await lab.read_until("configuration 2 confirmed")
                await lab.wait_for_more_requests()
                # The restarted controller must have started before it can stop in an orderly way.
                await lab.wait_for_event(folder / killed / "log", '"core_started"', 2)
                await lab.stop()
            finally:
                if lab.process.returncode is None:
                    lab.process.terminate()  # the lab then stops its own processes
                    await lab.process.wait()
        return lab

    lab = asyncio.run(run_lab())
    assert (lab.refused, lab.failed) == (0, 0), lab.lines
    machines = [f"{role}-{number}" for role in ("controller", "router") for number in (1, 2, 3)]
    assert sorted(entry.name for entry in folder.iterdir()) == machines
    for name in machines[:3]:
        assert "core_stopped" in (folder / name / "log").read_text(), name
