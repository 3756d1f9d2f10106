"""Reading the platform's list of hosts: parsing its pages, and the schedule of calls. Sans I/O.

A pass reads all pages, one call at a time; only a complete pass replaces the list. A call costs
money and all processes share the platform's rate limit, so only one reader in the fleet calls: at
an interval while calls succeed, with exponential backoff and jitter while they fail.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.model.fleet import Host, HostState

if TYPE_CHECKING:
    import random

    from roselink.controller.field_validators import JsonObject, JsonValue

# Fraction of the platform's rate that one reader uses; the rest is for a former reader that has not
# stopped yet. With a larger value the two can exceed the rate; a smaller one makes passes longer.
RATE_FRACTION = 0.5
# A list with more pages is assumed to be endless, and is truncated here.
MAX_PAGES = 10_000
# Failed calls for one page before the pass restarts.
MAX_PAGE_ATTEMPTS = 3
# Bound of the backoff's exponent.
MAX_BACKOFF_DOUBLINGS = 10
HTTP_OK = 200
MAX_PORT = 65535
# Integers up to here are exact as floating-point numbers.
MAX_EXACT_INTEGER = 2**53


@dataclass(frozen=True, slots=True)
class ReaderTimes:
    """Bounds of the schedule, in seconds.

    Attributes:
        interval_s: from the start of a pass to the start of the next.
        backoff_s: doubled with each consecutive failure; the wait is 50 to 100% of that.
        max_backoff_s: the longest wait after failed calls.
        call_timeout_s: the time-out of one call.
    """

    interval_s: float = 0.6
    backoff_s: float = 0.1
    max_backoff_s: float = 1.0
    call_timeout_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Page:
    """One response of the platform.

    Attributes:
        hosts: its valid entries.
        rejections: why each other entry is invalid.
        next_token: the token of the next page; None for the last.
    """

    hosts: tuple[Host, ...]
    rejections: tuple[str, ...]
    next_token: str | None


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch a page (None: the first); `fetch_completed` gets the outcome with this number."""

    number: int
    page_token: str | None


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `timer_expired` at this time; a later `SetTimer` replaces it."""

    at: float


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The complete list, from a pass that started in this view."""

    epoch: int
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class LogWarning:
    """A warning that the driver logs."""

    event: str
    detail: str


ReaderEffect = Fetch | SetTimer | HostsListed | LogWarning


def parse_page(status: int, body: bytes) -> Page | str:
    """The page in a response, or why there is none."""
    if status != HTTP_OK:
        return f"status {status}"
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return "not JSON"
    entries = document.get("instances") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        return "no instances"
    token = document.get("next_page_token")
    if token is not None and not isinstance(token, str):
        token = json.dumps(token)
    hosts: list[Host] = []
    rejections: list[str] = []
    for entry in entries:
        host = parse_host(entry)
        if isinstance(host, Host):
            hosts.append(host)
        else:
            rejections.append(host)
    return Page(tuple(hosts), tuple(rejections), token or None)


def parse_host(entry: JsonValue) -> Host | str:
    """The host in an entry, or why the entry is invalid."""
    if not isinstance(entry, Mapping):
        return "not an object"
    fields: JsonObject = entry
    for name in ("id", "service", "address"):
        if not isinstance(fields.get(name), str) or not fields[name]:
            return f"{fields.get('id')!r}: no {name}"
    address, colon, port = fields["address"].rpartition(":")
    if not (colon and address and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        return f"{fields['id']!r}: address is not host:port"
    return Host(
        id=fields["id"],
        service=fields["service"],
        address=fields["address"],
        zone=_text_or_empty(fields.get("zone")),
        generation=_text_or_empty(fields.get("generation")),
        capacity=max(0, int(_number_or_zero(fields.get("capacity")))),
        state=HostState.READY if fields.get("state") == "ready" else HostState.DRAINING,
        warmup_left_ms=max(0.0, _number_or_zero(fields.get("warmup_left_ms"))),
        models=_model_names(fields.get("models")),
    )


def _text_or_empty(value: JsonValue) -> str:
    if isinstance(value, str):
        return value
    return "" if value is None else str(value)


def _number_or_zero(value: JsonValue) -> float:
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not -MAX_EXACT_INTEGER < value < MAX_EXACT_INTEGER
    ):
        return 0.0
    return float(value)


def _model_names(value: JsonValue) -> tuple[str, ...]:
    if not isinstance(value, list):
        return ()
    names = [item.get("name") if isinstance(item, Mapping) else item for item in value]
    return tuple(name for name in names if isinstance(name, str))


class HostListReader:
    """The schedule of one reader, between `start` and `stop`; at most one call is in flight."""

    def __init__(
        self, rate_per_s: float, rng: random.Random, times: ReaderTimes | None = None
    ) -> None:
        """Create a stopped reader.

        Args:
            rate_per_s: calls a second that the platform allows to all processes together.
            rng: the source of the backoff's jitter.
            times: bounds of the schedule.
        """
        self._times = times or ReaderTimes()
        self._call_interval_s = (
            1.0 / (rate_per_s * RATE_FRACTION) if rate_per_s > 0 else self._times.max_backoff_s
        )
        self._rng = rng
        self._epoch: int | None = None
        self._last_call_number = 0
        self._open_call_number: int | None = None
        self._pass_epoch = 0
        self._pass_started_at = 0.0
        self._last_call_at = float("-inf")
        self._next_call_at = 0.0
        self._page_token: str | None = None
        self._pages_read = 0
        self._page_failures = 0
        self._consecutive_failures = 0
        self._hosts: dict[str, Host] = {}
        self._published: dict[str, Host] | None = None
        self._pending_removals: frozenset[str] = frozenset()

    @property
    def running(self) -> bool:
        """Whether this reader has the role."""
        return self._epoch is not None

    def start(self, now: float, epoch: int) -> list[ReaderEffect]:
        """Take the reader's role in a view.

        A pass of a former view is abandoned, as its pages may be older.
        """
        if self._epoch == epoch:
            return []
        self._epoch = epoch
        self._open_call_number = None
        self._published = None
        self._pending_removals = frozenset()
        self._reset_pass()
        self._next_call_at = max(now, self._last_call_at + self._call_interval_s)
        return self._call_or_wait(now)

    def stop(self) -> list[ReaderEffect]:
        """Give up the role; the result of an open call is ignored."""
        self._epoch = None
        self._open_call_number = None
        self._hosts = {}
        self._published = None
        return []

    def timer_expired(self, now: float) -> list[ReaderEffect]:
        """Handle the expiry of the newest `SetTimer`."""
        return self._call_or_wait(now)

    def fetch_completed(self, now: float, number: int, page: Page | str) -> list[ReaderEffect]:
        """Handle the end of a call: a page, or why there is none."""
        if self._epoch is None or number != self._open_call_number:
            return []
        self._open_call_number = None
        if isinstance(page, str):
            return self._call_failed(now, page)
        self._consecutive_failures = 0
        self._page_failures = 0
        self._pages_read += 1
        effects: list[ReaderEffect] = [
            LogWarning("host_entry_rejected", reason) for reason in page.rejections
        ]
        for host in page.hosts:
            self._hosts[host.id] = host
        if page.next_token is not None and self._pages_read < MAX_PAGES:
            self._page_token = page.next_token
            self._next_call_at = self._last_call_at + self._call_interval_s
        else:
            effects.extend(self._end_pass())
        return effects + self._call_or_wait(now)

    def _call_failed(self, now: float, reason: str) -> list[ReaderEffect]:
        self._consecutive_failures += 1
        self._page_failures += 1
        if self._page_failures >= MAX_PAGE_ATTEMPTS:
            self._reset_pass()
        max_wait_s = min(
            self._times.max_backoff_s,
            self._times.backoff_s * 2.0 ** min(self._consecutive_failures, MAX_BACKOFF_DOUBLINGS),
        )
        wait_s = max_wait_s * self._rng.uniform(0.5, 1.0)
        self._next_call_at = max(now + wait_s, self._last_call_at + self._call_interval_s)
        return [LogWarning("platform_call_failed", reason), *self._call_or_wait(now)]

    def _reset_pass(self) -> None:
        self._page_token = None
        self._pages_read = 0
        self._page_failures = 0
        self._hosts = {}

    def _end_pass(self) -> list[ReaderEffect]:
        """Publish the pass.

        Entries may shift between pages while these are read. So where a list has several pages, a
        missing host is removed only when a second pass, started at once, lacks it too.
        """
        hosts = self._hosts
        verify_at_once = False
        if self._pages_read > 1 and self._published is not None:
            missing = frozenset(self._published) - frozenset(hosts)
            newly_missing = missing - self._pending_removals
            hosts = hosts | {host_id: self._published[host_id] for host_id in newly_missing}
            self._pending_removals = newly_missing
            verify_at_once = bool(newly_missing)
        self._published = hosts
        hosts_listed = HostsListed(self._pass_epoch, tuple(hosts.values()))
        earliest = self._last_call_at + self._call_interval_s
        self._next_call_at = (
            earliest
            if verify_at_once
            else max(earliest, self._pass_started_at + self._times.interval_s)
        )
        self._reset_pass()
        return [hosts_listed]

    def _call_or_wait(self, now: float) -> list[ReaderEffect]:
        if self._epoch is None or self._open_call_number is not None:
            return []
        if now < self._next_call_at:
            return [SetTimer(self._next_call_at)]
        if self._pages_read == 0:
            self._pass_started_at = now
            self._pass_epoch = self._epoch
        self._last_call_number += 1
        self._open_call_number = self._last_call_number
        self._last_call_at = now
        return [Fetch(self._last_call_number, self._page_token)]
