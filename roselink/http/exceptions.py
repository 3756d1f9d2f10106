"""Exceptions for invalid requests of clients and invalid responses of hosts."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class HttpError(RoselinkError):
    """Base class of the exceptions of `roselink.http`."""

    code = "HTP-000"


class BadRequestError(HttpError):
    """The client's request is invalid.

    Attributes:
        status: the status of the response.
    """

    code = "HTP-001"

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status.

        Args:
            status: the status of the response.
            reason: what is wrong with the request, for the log.
        """
        super().__init__(reason)
        self.status = status


class UnreadableResponseError(HttpError):
    """Base class for invalid responses of hosts."""

    code = "HTP-002"


class ResponseTooLongError(UnreadableResponseError):
    """The head or the body of a response exceeds its limit."""

    code = "HTP-003"

    def __init__(self, section: str, limit: int) -> None:
        """Keep the section, "head" or "body", and its limit in bytes."""
        super().__init__(f"{section} of more than {limit} bytes")
        self.section = section
        self.limit = limit


class TooManyInterimResponsesError(UnreadableResponseError):
    """More interim responses (1xx) than allowed precede the final one."""

    code = "HTP-004"

    def __init__(self, limit: int) -> None:
        """Keep the number that is allowed."""
        super().__init__(f"more than {limit} interim responses")
        self.limit = limit
