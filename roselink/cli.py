"""Commands for people: check a file, show the fleet's state, run a whole fleet on loopback.

Each returns the exit status: 0 all well, 1 the fleet can't tell or can't run, 2 the input is at
fault.
"""

from __future__ import annotations

import json as codec
import sys
from pathlib import Path

import defopt  # type: ignore[import-untyped]

from roselink.controller.validation import ValidationFailure, validate_document
from roselink.model.settings import SettingsError, read_settings
from roselink.status import NoAnswer, fetch_state, render

EXIT_UNAVAILABLE = 1
EXIT_FAULTS = 2
MOST_MACHINES = 9  # that vote


def check(file: Path) -> int:
    """Check a settings file or a configuration, and name every fault by its path.

    :param file: JSON; one with `node_name` is taken for a process's settings, any other for a
        configuration
    """
    try:
        document = codec.loads(file.read_bytes())
    except OSError as error:
        return _report([f"{file}: cannot be read: {error.strerror}"])
    except (ValueError, RecursionError) as error:
        return _report([f"{file}: is not JSON: {error}"])
    if isinstance(document, dict) and "node_name" in document:
        try:
            read_settings(document)
        except SettingsError as error:
            return _report(error.faults)
        return 0
    checked = validate_document(document)
    if isinstance(checked, ValidationFailure):
        return _report([str(fault) for fault in checked.faults])
    return 0


def status(address: str, *, json: bool = False) -> int:
    """Show the view and its chain, the versions, each gateway's lag, and the owners of roles.

    :param address: the operator address of any controller, as ip:port
    :param json: all that is known, as JSON
    """
    try:
        state = fetch_state(address)
    except NoAnswer as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_UNAVAILABLE
    text = codec.dumps(state, indent=2) if json else "\n".join(render(state))
    sys.stdout.write(text + "\n")
    return 0 if state["confirmed"] else EXIT_UNAVAILABLE


def lab(
    *,
    routers: int = 3,
    clients: int = 6,
    seconds: float | None = None,
    kill: bool = False,
    folder: Path | None = None,
) -> int:
    """Run a whole fleet on loopback, with stand-ins for platform, hosts, operator and clients.

    Prints what is where and a line a second, until Ctrl-C.

    :param routers: how many gateways, beside 3 controllers
    :param clients: how many send requests, one after the other each
    :param seconds: end after so long
    :param kill: kill a gateway and the chain's tail on the way
    :param folder: keep settings, disks and logs in this new folder
    """
    from roselink.lab.command import Plan, run_lab
    from roselink.lab.fleet import MOST_ROUTERS

    if not (1 <= routers <= MOST_ROUTERS and clients >= 1):
        return _report([f"routers: 1 to {MOST_ROUTERS}; clients: 1 at least"])
    if folder is not None and folder.exists():
        return _report([f"{folder}: is there already"])
    report = run_lab(Plan(routers, clients, seconds, kill, folder), _say)
    return EXIT_UNAVAILABLE if report.trouble is not None or report.late else 0


def simulate(*, seed: int = 1, days: int = 1, machines: int | None = None, jobs: int = 1) -> int:
    """Play days of troubles on a simulated control plane, and judge all that its callers were told.

    :param seed: of the first day; the next have the next ones
    :param days: how many days
    :param machines: of the core; left out, size and kind of day follow from the seed
    :param jobs: how many days at a time
    """
    from roselink.simulation.command import run_days

    if days < 1 or jobs < 1 or (machines is not None and not 1 <= machines <= MOST_MACHINES):
        return _report([f"days and jobs: 1 at least; machines: 1 to {MOST_MACHINES}"])
    return EXIT_UNAVAILABLE if run_days(seed, days, machines, jobs, _say) else 0


def _say(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def _report(faults: list[str]) -> int:
    for fault in faults:
        sys.stderr.write(fault + "\n")
    return EXIT_FAULTS


def run_command(arguments: list[str]) -> int:
    """Run one of the commands above; the exit status."""
    result = defopt.run([check, status, lab, simulate], argv=arguments, short={})
    return int(result or 0)
