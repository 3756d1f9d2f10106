"""The command line: `python3 -m roselink COMMAND`.

`router` and `controller` are the fleet's two programs and take no options: they read the settings
file that ROSELINK_BOOT names. `gateway` is the gateway of the deployments in service, the same as
`python3 -m roselink.gateway`. They are dispatched before anything else is imported, because a
restarted process serves only after its imports. All other commands are in `roselink.cli`.
"""

from __future__ import annotations

import faulthandler
import os
import sys

EXIT_BAD_SETTINGS = 2


def run_program(command: str) -> int:
    """Run the router or the controller until it ends; return the exit status.

    A crash in native code writes the stack of each thread to the log.
    """
    from roselink.startup_signals import handle_signals_while_starting

    handle_signals_while_starting(command)
    faulthandler.enable(sys.__stderr__ or sys.stderr)
    from roselink.model.settings import (
        DEFAULT_PATH,
        ENVIRONMENT_VARIABLE,
        SettingsError,
        load_settings,
    )

    try:
        settings = load_settings(os.environ.get(ENVIRONMENT_VARIABLE, DEFAULT_PATH))
    except SettingsError as error:
        for fault in error.faults:
            sys.stderr.write(f"settings: {fault} [{error.code}]\n")
        return EXIT_BAD_SETTINGS
    if command == "router":
        from roselink.router.app import run
    else:
        from roselink.controller.app import run
    run(settings)
    return 0


def main(arguments: list[str]) -> int:
    """Run one command; return its exit status."""
    if arguments and arguments[0] in ("router", "controller"):
        return run_program(arguments[0])
    if arguments and arguments[0] == "gateway":
        from roselink.gateway.__main__ import main as run_gateway

        return run_gateway()
    from roselink.cli import run_command

    return run_command(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
