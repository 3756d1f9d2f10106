"""Commands for people: check a file, ask a controller for the fleet's state.

Each returns the exit status: 0 all well, 1 the fleet can't tell, 2 the input is at fault.
"""

from __future__ import annotations

import http.client
import json
import sys
from pathlib import Path

import defopt  # type: ignore[import-untyped]

from roselink.control.checking import Refused, check_document
from roselink.model.settings import SettingsError, read_settings

EXIT_UNAVAILABLE = 1
EXIT_FAULTS = 2
STATUS_TIMEOUT_S = 3.0


def check(file: Path) -> int:
    """Check a settings file or a configuration, and name every fault by its path.

    :param file: JSON; one with `node_name` is taken for a process's settings, any other for a configuration
    """
    try:
        document = json.loads(file.read_bytes())
    except OSError as error:
        return _report([f"{file}: cannot be read: {error.strerror}"])
    except ValueError as error:
        return _report([f"{file}: is not JSON: {error}"])
    if isinstance(document, dict) and "node_name" in document:
        try:
            read_settings(document)
        except SettingsError as error:
            return _report(error.faults)
        return 0
    checked = check_document(document)
    if isinstance(checked, Refused):
        return _report([str(fault) for fault in checked.faults])
    return 0


def status(address: str) -> int:
    """Show the view, the versions and the gateways as one controller knows them.

    :param address: the controller's operator address, as ip:port
    """
    connection = http.client.HTTPConnection(address, timeout=STATUS_TIMEOUT_S)
    try:
        connection.request("GET", "/status")
        answer = connection.getresponse()
        state = json.loads(answer.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        sys.stderr.write(f"{address}: {error}\n")
        return EXIT_UNAVAILABLE
    finally:
        connection.close()
    sys.stdout.write(json.dumps(state, indent=2) + "\n")
    return 0


def _report(faults: list[str]) -> int:
    for fault in faults:
        sys.stderr.write(fault + "\n")
    return EXIT_FAULTS


def run_command(arguments: list[str]) -> int:
    """Run one of the commands above; the exit status."""
    result = defopt.run([check, status], argv=arguments, short={})
    return int(result or 0)
