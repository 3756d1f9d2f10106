"""What may follow an outcome: a retry, a refusal, or neither; and what it says of a jam."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.interface import Effect, Group
from roselink.routing.outcome import NEVER_RAN, Outcome

if TYPE_CHECKING:
    from roselink.balancer.request_state import Request

# Outcomes of servers that are broken or gone. They do not indicate a jam: other servers can take
# the work.
SERVER_FAULTS = frozenset({Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET})


def may_refuse(request: Request) -> bool:
    """Whether a refusal is true. Rule 2: it says that trying again is harmless.

    So nothing may have run that does harm when it runs twice.
    """
    spec = request.route.spec
    repeatable = spec.effect is Effect.SAFE or (
        spec.effect is Effect.KEYED and spec.group is Group.ALL
    )
    return repeatable or not request.may_have_run()


def is_retryable(request: Request, outcome: Outcome) -> bool:
    """Whether an outcome is retryable: unseen work always, any failure where repeats do no harm."""
    return outcome in NEVER_RAN or request.route.spec.effect is not Effect.UNSAFE


def may_repeat_at(request: Request, zone: int, cell: int, now_us: int) -> bool:
    """Whether a server in this zone and cell may run the request after its earlier attempts.

    Rule 2: an unsafe request runs once; a keyed one runs again only in the group that drops
    repeats, and only within the time for which that group remembers them.
    """
    spec = request.route.spec
    if spec.effect is Effect.SAFE or not (possible_runs := request.may_have_run()):
        return True
    if spec.effect is Effect.UNSAFE:
        return False
    first = possible_runs[0].server.spec
    same_group = {
        Group.ALL: True,
        Group.ZONE: first.zone == zone,
        Group.CELL: first.cell == cell,
    }
    return same_group[spec.group] and now_us < possible_runs[0].sent_us + spec.memory_span_us
