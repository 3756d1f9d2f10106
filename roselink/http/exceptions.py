"""Exceptions about what clients and hosts send."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class HttpError(RoselinkError):
    """Base class of the exceptions of `roselink.http`."""

    code = "HTP-000"


class BadRequestError(HttpError):
    """What a client sent is no request that can be served.

    Attributes:
        status: the status that the client gets.
    """

    code = "HTP-001"

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status.

        Args:
            status: the status that the client gets.
            reason: what is wrong, for the log.
        """
        super().__init__(reason)
        self.status = status


class UnreadableResponseError(HttpError):
    """Base class: what a host sent is no response that can be used."""

    code = "HTP-002"


class ResponseTooLongError(UnreadableResponseError):
    """A head or a body passes its limit."""

    code = "HTP-003"

    def __init__(self, section: str, limit: int) -> None:
        """Say which section it is, "head" or "body", and its limit in bytes."""
        super().__init__(f"{section} of more than {limit} bytes")
        self.section = section
        self.limit = limit


class TooManyInterimResponsesError(UnreadableResponseError):
    """More interim responses (1xx) than make sense lie ahead of the final one."""

    code = "HTP-004"

    def __init__(self, limit: int) -> None:
        """Keep how many are allowed."""
        super().__init__(f"more than {limit} interim responses")
        self.limit = limit
