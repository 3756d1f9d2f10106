"""Size and time limits of requests."""

from __future__ import annotations

from typing import NamedTuple


class SizeLimits(NamedTuple):
    """Size limits of a request, in bytes.

    `message` limits the complete request, including the framing of a chunked body.
    """

    head: int
    body: int
    message: int


class TimeLimits(NamedTuple):
    """Time-outs of a client connection, in seconds.

    `head` and `body`: from a request's first byte until they are complete; `unread`: for the client
    to read a response; `idle`: keep-alive time-outs by the number of requests that the connection
    has had, the last one for all higher numbers.
    """

    head: float
    body: float
    unread: float
    idle: tuple[float, ...]
