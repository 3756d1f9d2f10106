"""Reading the platform's list of hosts: its entries, and the schedule of the calls. Sans I/O.

A pass reads all pages, one call at a time; only a whole pass replaces the list. A call costs money
and all processes share the platform's rate, so only the fleet's one reader asks, seldom when it is
calm, and with growing waits when calls fail.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from roselink.model.fleet import Host, HostState

if TYPE_CHECKING:
    import random

RATE_SHARE = (
    0.5  # of the platform's rate: the rest is left for a former reader that has not stopped yet
)
MOST_PAGES = 10_000  # a list that goes on longer never ends
PAGE_TRIES = 3  # of one page, before the pass begins again


@dataclass(frozen=True, slots=True)
class ReaderTimes:
    """Bounds of the schedule, in seconds: from pass to pass, the waits after failed calls, and one
    call.
    """

    interval_s: float = 0.6
    backoff_s: float = 0.1
    most_backoff_s: float = 1.0
    call_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Page:
    """One answer of the platform: its entries, those that can't be read, and the token of the next
    page.
    """

    hosts: tuple[Host, ...]
    unreadable: tuple[str, ...]
    next_token: str | None


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for a page (None: the first); the end comes back as `answered` with this number."""

    number: int
    page_token: str | None


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call `woken` at this time; a later one replaces it."""

    at: float


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The whole list, from a pass that began in this view."""

    epoch: int
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class LogWarning:
    """Something to be logged."""

    event: str
    detail: str


ReaderEffect = Fetch | WakeAt | HostsListed | LogWarning


def parse_page(status: int, body: bytes) -> Page | str:
    """The page in an answer, or why there is none."""
    if status != 200:
        return f"status {status}"
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return "no JSON"
    entries = document.get("instances") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        return "no instances"
    token = document.get("next_page_token")
    if token is not None and not isinstance(token, str):
        token = json.dumps(token)
    hosts, unreadable = [], []
    for entry in entries:
        host = parse_host(entry)
        if isinstance(host, Host):
            hosts.append(host)
        else:
            unreadable.append(host)
    return Page(tuple(hosts), tuple(unreadable), token or None)


def parse_host(entry: object) -> Host | str:
    """The host in an entry, or why it can't be read."""
    if not isinstance(entry, Mapping):
        return "no object"
    for name in ("id", "service", "address"):
        if not isinstance(entry.get(name), str) or not entry[name]:
            return f"{entry.get('id')!r}: no {name}"
    address, colon, port = entry["address"].rpartition(":")
    if not (colon and address and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return f"{entry['id']!r}: no address:port"
    return Host(
        id=entry["id"],
        service=entry["service"],
        address=entry["address"],
        zone=_text(entry.get("zone")),
        generation=_text(entry.get("generation")),
        capacity=max(0, int(_number(entry.get("capacity")))),
        state=HostState.READY if entry.get("state") == "ready" else HostState.DRAINING,
        warmup_left_ms=max(0.0, _number(entry.get("warmup_left_ms"))),
        models=_models(entry.get("models")),
    )


def _text(value: Any) -> str:
    return value if isinstance(value, str) else "" if value is None else str(value)


def _number(value: Any) -> float:
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not -(2**53) < value < 2**53
    ):
        return 0.0
    return float(value)


def _models(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        return ()
    names = [item.get("name") if isinstance(item, Mapping) else item for item in value]
    return tuple(name for name in names if isinstance(name, str))


class HostListReader:
    """The schedule of one reader. It runs between `start` and `stop`; at most one call is under
    way.
    """

    def __init__(
        self, rate_per_s: float, chance: random.Random, times: ReaderTimes | None = None
    ) -> None:
        self._times = times or ReaderTimes()
        self._gap_s = (
            1.0 / (rate_per_s * RATE_SHARE) if rate_per_s > 0 else self._times.most_backoff_s
        )
        self._chance = chance
        self._epoch: int | None = None
        self._numbers = 0
        self._open: int | None = None
        self._pass_epoch = 0
        self._pass_began = 0.0
        self._called_at = float("-inf")
        self._next_at = 0.0
        self._token: str | None = None
        self._pages = 0
        self._page_tries = 0
        self._failures = 0
        self._hosts: dict[str, Host] = {}
        self._last: dict[str, Host] | None = None
        self._missed_once: frozenset[str] = frozenset()

    @property
    def running(self) -> bool:
        """Whether this reader holds the role."""
        return self._epoch is not None

    def start(self, now: float, epoch: int) -> list[ReaderEffect]:
        """Hold the role in a view. A pass of a former view is given up: its pages may be older."""
        if self._epoch == epoch:
            return []
        self._epoch = epoch
        self._open = None
        self._last = None
        self._missed_once = frozenset()
        self._begin_pass()
        self._next_at = max(now, self._called_at + self._gap_s)
        return self._go(now)

    def stop(self) -> list[ReaderEffect]:
        """Hold the role no more; what comes of an open call is passed over."""
        self._epoch, self._open = None, None
        self._hosts, self._last = {}, None
        return []

    def woken(self, now: float) -> list[ReaderEffect]:
        """The time of a `WakeAt` has come."""
        return self._go(now)

    def answered(self, now: float, number: int, page: Page | str) -> list[ReaderEffect]:
        """The end of a call: a page, or why there is none."""
        if self._epoch is None or number != self._open:
            return []
        self._open = None
        if isinstance(page, str):
            return self._failed(now, page)
        self._failures, self._page_tries = 0, 0
        self._pages += 1
        effects: list[ReaderEffect] = [
            LogWarning("host_entry_rejected", reason) for reason in page.unreadable
        ]
        for host in page.hosts:
            self._hosts[host.id] = host
        if page.next_token is not None and self._pages < MOST_PAGES:
            self._token = page.next_token
            self._next_at = self._called_at + self._gap_s
        else:
            effects.extend(self._pass_done())
        return effects + self._go(now)

    def _failed(self, now: float, reason: str) -> list[ReaderEffect]:
        self._failures += 1
        self._page_tries += 1
        if self._page_tries >= PAGE_TRIES:
            self._begin_pass()
        bound = min(
            self._times.most_backoff_s, self._times.backoff_s * 2.0 ** min(self._failures, 10)
        )
        wait = bound * self._chance.uniform(0.5, 1.0)
        self._next_at = max(now + wait, self._called_at + self._gap_s)
        return [LogWarning("platform_call_failed", reason), *self._go(now)]

    def _begin_pass(self) -> None:
        self._token, self._pages, self._page_tries, self._hosts = None, 0, 0, {}

    def _pass_done(self) -> list[ReaderEffect]:
        """Publish the pass. Pages may shift while they are read: then absence must show twice."""
        hosts, again = self._hosts, False
        if self._pages > 1 and self._last is not None:
            missing = frozenset(self._last) - frozenset(hosts)
            fresh = missing - self._missed_once
            hosts = hosts | {name: self._last[name] for name in fresh}
            self._missed_once, again = fresh, bool(fresh)
        self._last = hosts
        listed = HostsListed(self._pass_epoch, tuple(hosts.values()))
        soonest = self._called_at + self._gap_s
        self._next_at = (
            soonest if again else max(soonest, self._pass_began + self._times.interval_s)
        )
        self._begin_pass()
        return [listed]

    def _go(self, now: float) -> list[ReaderEffect]:
        if self._epoch is None or self._open is not None:
            return []
        if now < self._next_at:
            return [WakeAt(self._next_at)]
        if self._pages == 0:
            self._pass_began, self._pass_epoch = now, self._epoch
        self._numbers += 1
        self._open, self._called_at = self._numbers, now
        return [Fetch(self._numbers, self._token)]
