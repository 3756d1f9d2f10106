"""Records between gateways and the owners of quotas and of the services' retry budgets.

Every request carries the fencing token (the roster's version) under which the requester takes the
receiver for the owner of the key.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from roselink.protocol.records import record


class ReplyStatus(IntEnum):
    """Whether an owner decided a request, or why it did not."""

    DECIDED = 1
    # The requester's token is older than the owner's.
    STALE_TOKEN = 2
    # The requester's token is newer than the owner's, or the owner wasn't confirmed lately.
    NOT_READY = 3
    # Under the same token another gateway owns the key: rosters differ, or programs do.
    NOT_OWNER = 4
    # The owner has no usage of this requester in its term: repeat the request with a report.
    REPORT_WANTED = 5


@record(96)
@dataclass(frozen=True, slots=True)
class UsageSample:
    """Tokens (`amount`) that were admitted `age_ms` milliseconds ago."""

    age_ms: int
    amount: float


@record(101)
@dataclass(frozen=True, slots=True)
class BucketLevel:
    """The state of an owner's token bucket `age_ms` milliseconds ago.

    `term` identifies that owner's term; `level` is in tokens; `used` is what the gateways that the
    owner took for live had used in the window before, in tokens.
    """

    term: int
    level: float
    used: float
    age_ms: int


@record(97)
@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Whether these amounts of tokens may run now, each decided by itself and in sequence.

    `ahead`: tokens wanted on top, to be used within the lease. `returned`: tokens admitted or lent
    before that weren't used. `alone`: admitted by the requester itself since an owner last replied.
    `leaving`: the requester drains and admits nothing by itself. `known`: the level in the last
    reply. `report`: all that the requester admitted in the last window, where the owner may not
    know it.
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
    known: BucketLevel | None
    report: tuple[UsageSample, ...] | None


@record(98)
@dataclass(frozen=True, slots=True)
class QuotaReply:
    """The owner's decisions: `admitted` has one for each amount of the request.

    `retry_after_s`: when the first refused amount may be requested again. `used`: what all live
    gateways admitted of the tenant in the last window, in tokens; `share`: the requester's fraction
    of it (0 to 1). `term` and `level` are the bucket's, after these decisions. `token` is the
    owner's.
    """

    status: ReplyStatus
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
class RetryBudgetRequest:
    """Whether one retry to a service may draw on its retry budget."""

    service: str
    token: int


@record(100)
@dataclass(frozen=True, slots=True)
class RetryBudgetReply:
    """The owner's decision; a refusal stands for at least `retry_after_s` seconds."""

    status: ReplyStatus
    token: int
    allowed: bool
    retry_after_s: float = 0.0
