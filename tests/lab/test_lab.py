"""The lab as it is started from the command line: real processes, served, killed, ended."""

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
BOUND_S = 60.0
SERVED = 15

_COUNTS = re.compile(r"served (\d+) refused (\d+) failed (\d+)")

_KILLED = re.compile(r"killing (controller-\d)")


class Run:
    """One lab, its lines, and the counts in its newest line."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.lines: list[str] = []
        self.served = self.refused = self.failed = 0

    async def line(self) -> str:
        """The next line."""
        assert self.process.stdout is not None
        text = (await self.process.stdout.readline()).decode()
        assert text, f"the lab has ended: {self.lines}"
        self.lines.append(text)
        if found := _COUNTS.search(text):
            self.served, self.refused, self.failed = map(int, found.groups())
        return text

    async def until(self, word: str) -> str:
        """Read up to a line with this in it, and return that line."""
        while word not in (text := await self.line()):
            pass
        return text

    async def until_logged(self, log: Path, event: str, times: int) -> None:
        """Read on until a machine's log has an event so many times."""
        while count_of(event, log) < times:
            await self.line()

    async def serve_more(self) -> None:
        """Read until so many more have been served."""
        goal = self.served + SERVED
        while self.served < goal:
            await self.line()

    async def end(self) -> None:
        """As Ctrl-C ends it; everything that ran must be gone."""
        self.process.send_signal(signal.SIGINT)
        await self.until("ended:")
        assert await self.process.wait() == 0
        pids = [int(pid) for line in self.lines for pid in re.findall(r"pid (\d+)$", line)]
        assert len(pids) >= 6
        for pid in pids:
            with pytest.raises(ProcessLookupError):
                os.kill(pid, 0)


def count_of(event: str, log: Path) -> int:
    """How often a log has an event."""
    return log.read_text().count(event)


async def start(*arguments: str) -> Run:
    """A lab in a process of its own."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "roselink", "lab", *arguments), cwd=ROOT, stdout=PIPE, stderr=STDOUT
    )
    return Run(process)


def test_a_fleet_serves_through_the_loss_of_a_gateway_and_of_the_tail_and_ends_whole(
    tmp_path: Path,
) -> None:
    folder = tmp_path / "lab"

    async def work() -> Run:
        async with asyncio.timeout(BOUND_S):
            run = await start("--kill", "--folder", str(folder))
            try:
                await run.until("serving")
                await run.until("killing router")
                killed = _KILLED.findall(await run.until("killing controller"))[0]
                await run.until("configuration 2 confirmed")
                await run.serve_more()
                # Its second process ends as all others do once it has started.
                await run.until_logged(folder / killed / "log", '"core_started"', 2)
                await run.end()
            finally:
                if run.process.returncode is None:
                    run.process.terminate()  # it ends its own processes
                    await run.process.wait()
        return run

    run = asyncio.run(work())
    assert (run.refused, run.failed) == (0, 0), run.lines
    machines = [f"{role}-{number}" for role in ("controller", "router") for number in (1, 2, 3)]
    assert sorted(entry.name for entry in folder.iterdir()) == machines
    for name in machines[:3]:
        assert "core_stopped" in (folder / name / "log").read_text(), name
