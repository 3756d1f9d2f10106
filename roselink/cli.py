"""Commands for operators and developers: `check`, `status`, `disk`, `lab` and `simulate`.

Each returns the exit status: 0 for success, 1 if the fleet is unavailable or a run failed, 2 if the
input is invalid.
"""

from __future__ import annotations

import json as codec
import secrets
import sys
from pathlib import Path

import defopt  # type: ignore[import-untyped]

from roselink.controller.validation import ValidationFailure, validate_document
from roselink.model.settings import SettingsError, read_settings
from roselink.status import StatusUnavailableError, fetch_status, render

EXIT_UNAVAILABLE = 1
EXIT_FAULTS = 2
MAX_MACHINES = 9
# Incarnations stay below the largest integer of a record.
INCARNATION_BITS = 61


def check(file: Path) -> int:
    """Check a settings file or a configuration, and print every fault with its path.

    :param file: JSON; one with `node_name` is read as a process's settings, any other as a
        configuration
    """
    try:
        document = codec.loads(file.read_bytes())
    except OSError as error:
        return _report_faults([f"{file}: cannot be read: {error.strerror}"])
    except (ValueError, RecursionError) as error:
        return _report_faults([f"{file}: is not JSON: {error}"])
    if isinstance(document, dict) and "node_name" in document:
        try:
            read_settings(document)
        except SettingsError as error:
            return _report_faults(error.faults)
        return 0
    checked = validate_document(document)
    if isinstance(checked, ValidationFailure):
        return _report_faults([str(fault) for fault in checked.faults])
    return 0


def status(address: str, *, json: bool = False) -> int:
    """Show the view and its chain, the versions, each gateway's lag, and the owners of budgets.

    :param address: the operator address of any controller, as ip:port
    :param json: print the status document as JSON
    """
    try:
        fleet_status = fetch_status(address)
    except StatusUnavailableError as error:
        sys.stderr.write(f"{error} [{error.code}]\n")
        return EXIT_UNAVAILABLE
    text = codec.dumps(fleet_status, indent=2) if json else "\n".join(render(fleet_status))
    sys.stdout.write(text + "\n")
    return 0 if fleet_status["confirmed"] else EXIT_UNAVAILABLE


def inspect(*folders: Path) -> int:
    """Show what is on the disks of stopped controllers: identity, view, state, damaged records.

    :param folders: data folders
    """
    from roselink.controller.disk_inspection import describe, read_disk

    usable = True
    for folder in folders:
        try:
            contents = read_disk(str(folder))
        except OSError as error:
            return _report_faults([f"{folder}: cannot be read: {error.strerror}"])
        sys.stdout.write("\n".join(describe(contents)) + "\n")
        usable = usable and contents.is_usable
    return 0 if usable else EXIT_UNAVAILABLE


def recover(
    *folders: Path,
    into: Path,
    address: str,
    lost: list[str] = [],  # noqa: B006 - defopt reads the default, and nothing changes it
    has_every_disk: bool = False,
    write: bool = False,
) -> int:
    """Make the disk from which a stopped core is restarted, from the disks that are left.

    Stop all controllers first. Without `--write` the plan is printed and nothing is changed.

    :param folders: the data folders of all machines that are left
    :param into: the new disk's folder, for the machine that is started first
    :param address: that machine's peer address, as ip:port
    :param lost: voters, as `inspect` shows them, whose disks will never come back
    :param has_every_disk: the disks of all machines that ever ran are given, except the lost ones
    :param write: carry the plan out; the given disks' records are moved aside
    """
    from roselink.controller import disk_recovery
    from roselink.controller.disk_inspection import read_disk

    try:
        disks = [read_disk(str(folder)) for folder in folders]
        plan = disk_recovery.plan_recovery(
            disks,
            address,
            secrets.randbits(INCARNATION_BITS) + 1,
            frozenset(lost),
            has_every_disk=has_every_disk,
        )
        if isinstance(plan, disk_recovery.RecoveryRefused):
            _report_faults(list(plan.reasons))
            return EXIT_UNAVAILABLE
        sys.stdout.write("\n".join(disk_recovery.describe_plan(plan, str(into))) + "\n")
        if write:
            disk_recovery.execute_plan(plan, disks, str(into))
            sys.stdout.write("written; start this machine first, then all others\n")
    except OSError as error:
        return _report_faults([f"{error.filename}: {error.strerror}"])
    return 0


def lab(
    *,
    routers: int = 3,
    clients: int = 6,
    seconds: float | None = None,
    kill: bool = False,
    folder: Path | None = None,
) -> int:
    """Run a fleet on loopback, with simulated platform, hosts, operator and clients.

    Prints the addresses and one line a second, until Ctrl-C.

    :param routers: number of gateways, in addition to 3 controllers
    :param clients: number of clients, each with one request in flight
    :param seconds: duration of the run
    :param kill: kill a gateway and the chain's tail during the run
    :param folder: new folder that keeps settings, disks and logs
    """
    from roselink.lab.command import LabOptions, run_lab
    from roselink.lab.fleet import MAX_ROUTERS

    if not (1 <= routers <= MAX_ROUTERS and clients >= 1):
        return _report_faults([f"routers: 1 to {MAX_ROUTERS}; clients: at least 1"])
    if folder is not None and folder.exists():
        return _report_faults([f"{folder}: already exists"])
    report = run_lab(LabOptions(routers, clients, seconds, kill, folder), _print_flushed)
    return EXIT_UNAVAILABLE if report.error is not None or report.overdue else 0


def simulate(*, seed: int = 1, days: int = 1, machines: int | None = None, jobs: int = 1) -> int:
    """Simulate days with faults on a control plane, and check all replies to its callers.

    :param seed: seed of the first day; each next day has the next seed
    :param days: number of days
    :param machines: number of core members; by default the seed determines it and the kind of day
    :param jobs: number of days in parallel
    """
    from roselink.simulation.command import run_days

    if days < 1 or jobs < 1 or (machines is not None and not 1 <= machines <= MAX_MACHINES):
        return _report_faults([f"days and jobs: at least 1; machines: 1 to {MAX_MACHINES}"])
    return EXIT_UNAVAILABLE if run_days(seed, days, machines, jobs, _print_flushed) else 0


def _print_flushed(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def _report_faults(faults: list[str]) -> int:
    for fault in faults:
        sys.stderr.write(fault + "\n")
    return EXIT_FAULTS


COMMANDS = {
    "check": check,
    "status": status,
    "disk": {"inspect": inspect, "recover": recover},
    "lab": lab,
    "simulate": simulate,
}


def run_command(arguments: list[str]) -> int:
    """Run one of `COMMANDS`; return its exit status."""
    result = defopt.run(COMMANDS, argv=arguments, short={})
    return int(result or 0)
