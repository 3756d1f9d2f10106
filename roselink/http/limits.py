"""Limits on what a request may hold and on how long its client may take."""

from __future__ import annotations

from typing import NamedTuple


class SizeLimits(NamedTuple):
    """What a request may hold, in bytes.

    `message`: all of it, a chunked body's framing included.
    """

    head: int
    body: int
    message: int


class TimeLimits(NamedTuple):
    """How long a client may take, in seconds.

    `head` and `body`: from a request's first byte until they are whole; `unread`: to take an
    response; `idle`: by the requests that its connection has brought, the last one for all higher
    numbers.
    """

    head: float
    body: float
    unread: float
    idle: tuple[float, ...]
