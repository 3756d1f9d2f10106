"""Records between gateways and the owners of quotas and of the shared slack of repeats.

Every ask carries the fencing token (the roster's version) under which the asker takes the other for
the owner.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from roselink.protocol.records import record


class Verdict(IntEnum):
    """What an owner makes of an ask."""

    DECIDED = 1
    STALE_TOKEN = 2  # the asker's token is older than the owner's
    NOT_YET = 3  # the asker's token is newer than the owner's, or the owner isn't confirmed lately
    NOT_OWNER = (
        4  # under the same token, another owns the key: broken rosters, or another program's key
    )
    REPORT_WANTED = 5  # the owner knows nothing of this asker in its term: ask again, with a report


@record(96)
@dataclass(frozen=True, slots=True)
class Used:
    """An amount that was admitted so long ago."""

    age_ms: int
    amount: float


@record(101)
@dataclass(frozen=True, slots=True)
class Level:
    """How an owner's bucket stood so long ago. `term` names that owner's term; `used`: what the
    gateways that it took for live had used in the window before.
    """

    term: int
    level: float
    used: float
    age_ms: int


@record(97)
@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Whether these amounts may run now, each decided by itself and in order.

    `ahead`: tokens wanted on top, to be used within the lease. `returned`: tokens admitted or lent
    before that weren't used. `alone`: admitted by the asker itself since an owner last answered.
    `leaving`: the asker drains and admits nothing by itself. `known`: the last answer's level.
    `report`: all that the asker admitted in the last window, where the owner may not know it.
    """

    tenant: str
    token: int
    asker: str
    incarnation: int
    amounts: tuple[float, ...]
    ahead: float
    returned: float
    alone: float
    leaving: bool
    known: Level | None
    report: tuple[Used, ...] | None


@record(98)
@dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """`admitted` has one decision an amount. `retry_after_s`: when the first refused one may come
    again.

    `used`: what all live gateways admitted of the tenant in the last window; `share`: the asker's
    part of it (0 to 1). `term` and `level` are the bucket's, after these decisions. `token` is the
    owner's.
    """

    verdict: Verdict
    token: int
    admitted: tuple[bool, ...] = ()
    ahead: float = 0.0
    retry_after_s: float = 0.0
    share: float = 0.0
    term: int = 0
    level: float = 0.0
    used: float = 0.0


@record(99)
@dataclass(frozen=True, slots=True)
class RepeatAsk:
    """Whether one repeat to a service may draw on the shared slack."""

    service: str
    token: int


@record(100)
@dataclass(frozen=True, slots=True)
class RepeatAnswer:
    """The owner's decision; `retry_after_s` says for how long a refusal stands at least."""

    verdict: Verdict
    token: int
    allowed: bool
    retry_after_s: float = 0.0
