"""Records what each outcome implies for its host, route and service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.routing.outcome import Outcome

if TYPE_CHECKING:
    from roselink.routing.affinity import PrefixCacheTracker
    from roselink.routing.events_and_actions import AttemptEnded
    from roselink.routing.host_record import HostRecord
    from roselink.routing.request_state import Attempt, Request
    from roselink.routing.topology import Topology

# Outcomes that count as a certain failure of the host.
CONNECTION_FAILURES = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET})
# Outcomes that say nothing about the host.
NEUTRAL_OUTCOMES = frozenset({Outcome.CANCELLED, Outcome.MOOT})


class OutcomeRecorder:
    """Updates payoffs, limits, ejections, route latencies and the prefix cache from outcomes."""

    def __init__(self, topology: Topology, prefix_cache: PrefixCacheTracker) -> None:
        """Record into the hosts and services of `topology`, and into `prefix_cache`."""
        self._topology = topology
        self._prefix_cache = prefix_cache

    def record_sent(self, attempt: Attempt) -> None:
        """Record that an attempt is sent; to a host on probation it may be the probe request."""
        host = attempt.host
        attempt.is_probe = host.probation and not host.probe_in_flight
        host.probe_in_flight = host.probe_in_flight or attempt.is_probe
        host.in_flight += 1
        host.pending_prompt_tokens += attempt.pending_prompt_tokens

    def record_first_event(self, request: Request, attempt: Attempt, now: float) -> None:
        """Record the first event, or the complete response if no event came before it."""
        host = attempt.host
        elapsed_s = now - attempt.sent_at
        _clear_pending_tokens(attempt)
        host.record_response(now)
        if not attempt.overdue:
            host.record_payoff(in_time=request.route.is_in_time(request.policy, elapsed_s))
        request.route.record_latency(elapsed_s)
        if request.facts.affinity and request.facts.prompt:
            self._prefix_cache.record_prefill(
                host.spec.id, self._prefix_cache.shared_segments(request.facts), now
            )

    def record_overdue(self, request: Request, attempt: Attempt, now: float) -> None:
        """Count a miss as soon as an attempt exceeds the target latency.

        It also counts as a failure if its host has not responded since it was sent.
        """
        if attempt.outcome is not None or attempt.first_event_seen:
            return
        attempt.overdue = True
        attempt.host.record_payoff(in_time=False)
        if attempt.host.last_response_at <= attempt.sent_at:
            self._record_failure(request, attempt.host, now, certain=False)

    def record_end(
        self, request: Request, attempt: Attempt, event: AttemptEnded, now: float
    ) -> None:
        """Record the end of an attempt, whatever its outcome."""
        host = attempt.host
        host.in_flight -= 1
        _clear_pending_tokens(attempt)
        if attempt.is_probe and host.probation:
            host.probe_in_flight = False
        if event.outcome in NEUTRAL_OUTCOMES:
            return
        rejected = event.outcome is Outcome.FULL and not event.wrong_host
        self._topology.ready_hosts(request.facts.service).record_outcome(rejected=rejected)
        if event.outcome is Outcome.SUCCESS:
            self._record_success(request, attempt, now)
        else:
            self._record_error(request, attempt, event, now)

    def _record_success(self, request: Request, attempt: Attempt, now: float) -> None:
        host = attempt.host
        host.raise_limit()
        if attempt.resumed:
            host.record_payoff(in_time=True)
        elif not attempt.first_event_seen:
            self.record_first_event(request, attempt, now)
        host.record_response(now)

    def _record_error(
        self, request: Request, attempt: Attempt, event: AttemptEnded, now: float
    ) -> None:
        host = attempt.host
        if not attempt.overdue:
            host.record_payoff(in_time=False)
        if event.outcome in CONNECTION_FAILURES or event.wrong_host:
            self._record_failure(request, host, now, certain=True, at_once=event.wrong_host)
            return
        if event.outcome is Outcome.FULL:
            host.lower_limit()
        if event.outcome is not Outcome.TIMEOUT:
            host.record_response(now)

    def _record_failure(
        self,
        request: Request,
        host: HostRecord,
        now: float,
        *,
        certain: bool,
        at_once: bool = False,
    ) -> None:
        if host.record_failure() or at_once:
            ready = self._topology.ready_hosts(request.facts.service)
            ready.eject(host, now, certain=certain)


def _clear_pending_tokens(attempt: Attempt) -> None:
    attempt.host.pending_prompt_tokens -= attempt.pending_prompt_tokens
    attempt.pending_prompt_tokens = 0
