"""Exceptions of the data plane."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class DataPlaneError(RoselinkError):
    """Base class of the exceptions of `roselink.dataplane`."""

    code = "DPL-000"


class UnrequestedResponseError(DataPlaneError):
    """A host's response that belongs to no request of its connection.

    Attributes:
        response_id: its `X-Request-Id`, None if absent.
    """

    code = "DPL-001"

    def __init__(self, response_id: bytes | None) -> None:
        """Keep the id of the response."""
        super().__init__(f"response with X-Request-Id {response_id!r} matches no request")
        self.response_id = response_id
