"""Outcome classification: what allows a retry or a refusal, and what indicates overload."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.balancer.interface import Effect, Group
from roselink.routing.outcome import NEVER_RAN, Outcome

if TYPE_CHECKING:
    from roselink.balancer.request_state import Request

# Outcomes of servers that are broken or gone. They do not indicate overload: other servers can
# take the work.
SERVER_FAULTS = frozenset({Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET})


def may_refuse(request: Request) -> bool:
    """Whether a request may be refused. Rule 2 (`decider`): a refusal signals a safe retry.

    It is safe if a repeat does no harm or if no attempt may have run.
    """
    spec = request.route.spec
    repeatable = spec.effect is Effect.SAFE or (
        spec.effect is Effect.KEYED and spec.group is Group.ALL
    )
    return repeatable or not request.may_have_run()


def is_retryable(request: Request, outcome: Outcome) -> bool:
    """Whether a retry may follow: always if the request did not run, else unless it is unsafe."""
    return outcome in NEVER_RAN or request.route.spec.effect is not Effect.UNSAFE


def may_repeat_at(request: Request, zone: int, cell: int, now_us: int) -> bool:
    """Whether a server in this zone and cell may run a request after its earlier attempts.

    Rule 2: an unsafe request runs once; a keyed one runs again only in the group that
    deduplicates repeats, and only while that group remembers the request.
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
