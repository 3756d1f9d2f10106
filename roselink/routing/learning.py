"""What each outcome tells of its host, its route and its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    from roselink.routing.affinity import PrefixMemory
    from roselink.routing.events_and_actions import AttemptEnded
    from roselink.routing.host_record import HostRecord
    from roselink.routing.request_state import Attempt, Request
    from roselink.routing.topology import Topology

BROKEN = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET})
UNTOLD = frozenset({Outcome.CANCELLED, Outcome.MOOT})  # outcomes that tell nothing of a host


class Learner:
    """Turns outcomes into payoffs, rests, limits, latencies and the memory of prompt parts."""

    def __init__(self, topology: Topology, memory: PrefixMemory) -> None:
        self._topology, self._memory = topology, memory

    def sent(self, attempt: Attempt) -> None:
        """An attempt goes out; a host that came back from a rest takes it as its trial."""
        host = attempt.host
        attempt.trial = host.probation and not host.trial_out
        host.trial_out = host.trial_out or attempt.trial
        host.in_flight += 1
        host.reading += attempt.reading

    def answered(self, request: Request, attempt: Attempt, now: float) -> None:
        """The first event, or the whole answer where no event came before."""
        host, elapsed_s = attempt.host, now - attempt.sent_at
        _stop_reading(attempt)
        host.alive(now)
        if not attempt.late:
            host.credit(1.0 if request.route.in_time(request.policy, elapsed_s) else 0.0)
        request.route.learn(elapsed_s)
        if request.facts.affinity and request.facts.prompt:
            self._memory.read_by(host.spec.id, self._memory.shared(request.facts), now)

    def overdue(self, request: Request, attempt: Attempt, now: float) -> None:
        """An attempt past its aim counts zero at once; a host not heard of since has failed."""
        if attempt.outcome is not None or attempt.started:
            return
        attempt.late = True
        attempt.host.credit(0.0)
        if attempt.host.heard_at <= attempt.sent_at:
            self._failed(request, attempt.host, now, sure=False)

    def ended(self, request: Request, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        """The outcome of an attempt."""
        host, outcome = attempt.host, event.outcome
        host.in_flight -= 1
        _stop_reading(attempt)
        if attempt.trial and host.probation:
            host.trial_out = False
        if outcome in UNTOLD:
            return None
        full = outcome is Outcome.FULL and not event.wrong_host
        self._topology.pool(request.facts.service).count(full)
        if outcome is Outcome.SUCCESS:
            host.served()
            if attempt.resumed:
                host.credit(1.0)
            elif not attempt.started:
                self.answered(request, attempt, now)
            return host.alive(now)
        if not attempt.late:
            host.credit(0.0)
        if outcome in BROKEN or event.wrong_host:
            return self._failed(request, host, now, sure=True, at_once=event.wrong_host)
        if full:
            host.refused()
        if outcome is not Outcome.TIMEOUT:
            host.alive(now)

    def _failed(
        self, request: Request, host: HostRecord, now: float, sure: bool, at_once: bool = False
    ) -> None:
        if host.failed() or at_once:
            self._topology.pool(request.facts.service).rest(host, now, sure)


def _stop_reading(attempt: Attempt) -> None:
    attempt.host.reading -= attempt.reading
    attempt.reading = 0
