"""The errors that the controller raises."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class ControllerError(RoselinkError):
    """Base of the controller's errors."""

    code = "CTL-000"


class DataDirMissingError(ControllerError, ValueError):
    """The settings of a core member name no disk folder.

    Attributes:
        key: the settings key.
        node_name: the process's name.
    """

    code = "CTL-001"

    def __init__(self, node_name: str) -> None:
        """Make the error for the process whose settings lack the key."""
        super().__init__("data_dir: a core member needs a disk")
        self.key = "data_dir"
        self.node_name = node_name
