"""The errors of the operator's interface: a stable code, a status and a short reason each."""

from __future__ import annotations

from enum import Enum


class ApiError(Enum):
    """What a response other than 200 means; the values are (code, HTTP status, reason)."""

    INVALID = ("API-001", 400, "invalid")
    CONFLICT = ("API-002", 412, "conflict")
    TOO_LARGE = ("API-003", 413, "too large")
    NO_CONFIGURATION = ("API-004", 404, "no configuration yet")
    # The process is shutting down; the change was not started.
    STOPPING = ("API-005", 503, "stopping")
    # The change may or may not be committed, now or later.
    UNSETTLED = ("API-006", 503, "unsettled")
    # The newest configuration could not be confirmed in time.
    UNCONFIRMED = ("API-007", 503, "unconfirmed")

    @property
    def code(self) -> str:
        """The stable code."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.value[1]

    @property
    def reason(self) -> str:
        """The reason, in the field `error` of the response."""
        return self.value[2]
