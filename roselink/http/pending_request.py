"""A complete request of a client connection, and how it came."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


class PendingRequest:
    """A complete request, or the status of its rejection, that waits to be served.

    Clients may pipeline requests; each is served after the response to the previous one.
    """

    def __init__(self, request: Any, status: int, *, keep: bool, why: str = "") -> None:
        """Keep what a subclass serves later.

        Args:
            request: the request in the subclass's form, None for a rejection.
            status: the status of the rejection.
            keep: whether the connection may stay open.
            why: the reason for the rejection, for the log.
        """
        self.request = request
        self.status = status
        self.keep = keep
        self.why = why


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """How a request came: on a new connection, ahead of a response's end, or on an idle connection.

    Attributes:
        earlier_requests: requests that this connection has had before.
        sent_ahead: whether bytes of it were here when the previous response ended.
        idle_s: time since the end of the previous response, or since the connection was opened.
        promised_s: time since the previous response's head let the connection stay open; 0 if none.
    """

    earlier_requests: int
    sent_ahead: bool
    idle_s: float
    promised_s: float
