"""Exceptions of the request path."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class DataPlaneError(RoselinkError):
    """Base class of the exceptions of `roselink.dataplane`."""

    code = "DPL-000"


class UnrequestedResponseError(DataPlaneError):
    """A response that belongs to no request of this connection.

    Attributes:
        response_id: its `X-Request-Id`, None where it has none.
    """

    code = "DPL-001"

    def __init__(self, response_id: bytes | None) -> None:
        """Keep the id of the response."""
        super().__init__(f"response to {response_id!r}")
        self.response_id = response_id
