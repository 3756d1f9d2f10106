"""Every decision of the gateway (its types, events and actions: roselink/balancer/interface.py)."""

from __future__ import annotations

import math
import random
import zlib
from collections import deque
from typing import TYPE_CHECKING, Any

from roselink.balancer.interface import (
    Action,
    Alarm,
    Arrived,
    AttemptDone,
    Cancel,
    Departed,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    Log,
    Refuse,
    Route,
    Send,
    Server,
    ServerList,
    SetAlarm,
    Settings,
    State,
    StreamStarted,
    Watch,
)
from roselink.routing.latency_tracker import LatencyTracker
from roselink.routing.outcome import NEVER_RAN, Outcome
from roselink.routing.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

UNKNOWN = 0.5  # payoff of a server nothing is known of
EXPLORE = 0.05  # share of picks that go to the lower-scored of the two drawn
SMOOTH = 0.12  # weight of the newest outcome in a payoff: quick to learn against steady
EARN, TOKENS = 0.5, 40.0  # retry budget: tokens a first send earns, and the bucket's cap
SAVED = 0.2  # part of the recent requests that the bucket holds tokens for at most
HEDGE_AT = 0.95  # a request slower than this percentile of its route is hedged
BACKOFF = 1 / 64  # first wait between retry groups, as part of the aim; it doubles from there
# of that for an answer slower than its kind of machine: waits are no slowness of the machine
SLOWER = 0.5
# a payoff below this ejects: quick to leave a bad server against patience with an unlucky one
OUTLIER = 0.3
# first ejection, in the work of one trial by each balancer sharing: rest against early return
TRIALS = 2.0
# concurrency limit of a server, over all balancers, at first: room for large machines is learned
LIMIT = 3.0
# requests in a full server that wait for others: a busy machine against jams that no one sees
WAITING = 1.0
ROOM = 0.001  # what the limit gains or loses by one answer: quick to learn against steady
# between two counts of the room for own attempts: work for each request against late news
ROOM_US = 50_000
# share of attempts in time at which load shedding holds: use of the fleet against wasted work
TARGET = 0.7
# what a memory full of good or bad outcomes would move the share admitted by: speed against calm
STEER = 4.0
LEAST_ADMITTED = (
    0.1  # share still admitted at the worst: finding out that it is over against feeding a jam
)
COLD_SAFETY = (
    0.5  # part of the told cold-start budget to use at most: sends of many balancers cluster
)
COLD_GAIN, COLD_LOSS = (
    0.01,
    0.1,
)  # what a cold server's load gains by an answer in time, loses by another
HELD = (
    0.2  # part of its aim that a request waits here at most: room may come, against tries elsewhere
)
# local servers take all while one is filled under this part of its limit: crossings or waits
LOCAL = 0.5
MEMORY = (
    0.25  # part of the told ask-within time that a record lasts: fresh records against wide windows
)
# outcomes of late that make a fresh record: knowledge, connections kept against a wide choice
RECORD = 6.0
FEWEST = 8  # servers in the smallest window: one bad server must leave a choice


# Outcomes of servers that are broken or gone. They tell of no jam, and the others can take what is
# asked.
BROKEN = frozenset({Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET})


class RouteState:
    def __init__(self, spec: Route) -> None:
        self.spec, self.budget, self.latency = spec, TokenBucket(1.0), LatencyTracker(maxlen=128)
        self.patience_us = spec.aim_us or spec.deadline_us
        self.cost_us = self.patience_us / 4  # uncrowded latency; a cautious guess until learned
        self.samples, self.try_us = 0, 0.0  # answers learned from; how long clients wait, smoothed
        self.due: deque[tuple[int, Attempt]] = deque()  # attempts by the time they are overdue
        self.queues: tuple[deque[Request], deque[Request]] = (
            deque(),
            deque(),
        )  # within quota, over it


class ServerState:
    def __init__(self, spec: Server) -> None:
        self.spec, self.payoff = spec, UNKNOWN
        self.order = zlib.crc32(b"%d" % spec.id)  # its place in the order common to all balancers
        self.in_flight = self.overdue = 0  # own attempts out, and those of them past their aim
        self.heard_us = 0  # when an outcome last told of it
        self.ejections = self.ejected_until_us = 0
        self.rest_until_us = (
            0  # slow start: when our share of a cold server allows the next request
        )

    def well(self, now_us: int) -> bool:
        return self.ejected_until_us <= now_us and not self.overdue


class Attempt:
    def __init__(self, server: ServerState, sent_us: int, cost_us: float, warm: bool) -> None:
        self.server, self.sent_us, self.cost_us, self.warm = server, sent_us, cost_us, warm
        self.outcome: Outcome | None = None
        self.alone, self.late, self.full, self.hinted = not server.in_flight, False, False, True


class Request:
    """A client's request, kept until its final answer and the last outcome of its attempts."""

    def __init__(self, event: Arrived, route: RouteState, now_us: int, over: bool) -> None:
        self.id, self.route = event.request, route
        self.cost_us, self.hinted = float(event.work_us or route.cost_us), bool(event.work_us)
        self.over = over
        self.give_up_us = self.aimed_us = (
            event.give_up_us
        )  # an answer after `aimed_us` is worth less
        if route.spec.aim_us is not None:
            aim_us = route.spec.aim_us + int(route.spec.aim_stretch * self.cost_us)
            self.aimed_us = min(self.give_up_us, now_us + aim_us)
        self.useful_us = (
            self.give_up_us if route.spec.late_worth else self.aimed_us
        )  # after this, nothing
        self.attempts: list[Attempt] = []
        self.out, self.groups, self.closed = 0, 0, False

    def may_have_run(self) -> list[Attempt]:
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]


def may_refuse(request: Request) -> bool:
    """Rule 2: a refusal says that trying again is harmless, so nothing harmful may have run."""
    spec = request.route.spec
    repeatable = spec.effect is Effect.SAFE or (
        spec.effect is Effect.KEYED and spec.group is Group.ALL
    )
    return repeatable or not request.may_have_run()


def classify(request: Request, outcome: Outcome) -> bool:
    """Whether an outcome is retryable: unseen work always, any failure where repeats do no harm."""
    return outcome in NEVER_RAN or request.route.spec.effect is not Effect.UNSAFE


class Balancer:
    """One balancer. The same events bring the same actions; nothing is shared with any other."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, random.Random(seed), 0
        self.routes = [RouteState(spec) for spec in settings.routes or (Route(),)]
        self.servers: dict[int, ServerState] = {}
        self.candidates: list[
            ServerState
        ] = []  # the ready ones, in the same order at every balancer
        self.cold: list[ServerState] = []  # those of them that are cold
        self.requests: dict[int, Request] = {}
        self.actions: list[Action] = []
        self.alarms: dict[int, tuple[Callable[[Any], None], Any]] = {}
        self.tags = self.queued = self.failed_calls = 0
        self.quotas = [TokenBucket(q) for q in settings.tenant_quotas_per_s]
        self.span_us, self.mean_payoff = MEMORY * settings.ask_within_us, UNKNOWN
        self.recent, self.counted_us, self.admitted = (
            0.0,
            0,
            1.0,
        )  # requests of late; share not shed
        costs = [r.cost_us for r in self.routes]
        # A guess until learned, weighted by work: guards against first rests too short for heavy
        # classes.
        self.mean_cost_us, self.costs_seen = sum(c * c for c in costs) / sum(costs), 1
        self.blocking_share = 0.0  # part of the work asked for that comes in blocking requests
        self.pace: dict[
            int, float
        ] = {}  # of each kind of machine: log2 of mean latency over cost, warm
        self.share = LIMIT / settings.balancers  # own share of a server's concurrency limit
        self.out, self.room, self.room_until_us = 0, 1.0, 0  # own attempts out, and how many may be
        self.cold_load = 1.0  # work offered to cold servers in all, by what they surely can do
        self.crowding = 1.0  # latency in a full server over the uncrowded one, smoothed

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        self.now, self.actions = now_us, []
        self.count_overdue()
        for event in events:
            if type(event) in HANDLERS:
                HANDLERS[type(event)](self, event)
        if self.queued:
            self.drain()
        return self.actions

    def alarm(self, delay_us: float, act: Callable[[Any], None], about: Any = None) -> None:
        self.tags += 1
        self.alarms[self.tags] = (act, about)
        self.actions.append(SetAlarm(max(0, int(delay_us)), self.tags))

    def on_alarm(self, event: Alarm) -> None:
        act, about = self.alarms.pop(event.tag, (lambda _: None, None))
        act(about)

    def on_list(self, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            # Guards against calls piling up on discovery, one service for all: waits grow, with
            # jitter.
            self.failed_calls = min(self.failed_calls + 1, 9)
            wait_us = min(self.settings.ask_within_us / 4, 100_000 * 2.0**self.failed_calls)
            return self.alarm(
                wait_us * (0.5 + self.random.random()), lambda _: self.actions.append(Watch())
            )
        self.failed_calls = 0
        if event.kind is ListKind.CACHED and self.settings.discovery_asks:
            self.actions.append(Watch())
        if event.kind is not ListKind.CHANGES:
            self.servers = {i: self.servers[i] for i, *_ in event.servers if i in self.servers}
        for line in event.servers:
            known = self.servers.get(line.id)
            self.pace.setdefault(line.kind, 0.0)
            if line.state is State.GONE:
                self.servers.pop(line.id, None)
            elif known is None or (line.started_us or 0) > (known.spec.started_us or 0):
                fresh = self.servers[line.id] = ServerState(line)
                if self.is_cold(fresh):
                    self.rest(fresh, self.mean_cost_us * self.random.random())
            else:
                known.spec = line
        # Rule 3: a draining or departed server leaves the candidates with the event that tells of
        # it.
        ready = [s for s in self.servers.values() if s.spec.state is State.READY]
        self.candidates = sorted(ready, key=lambda s: s.order)
        self.cold = [s for s in self.candidates if self.is_cold(s)]

    def on_arrived(self, event: Arrived) -> None:
        route = self.routes[event.route]
        self.recent = 1.0 + self.recent * math.exp((self.counted_us - self.now) / self.span_us)
        self.counted_us = self.now
        left_us = event.give_up_us - self.now
        route.try_us += (left_us - route.try_us) * (SMOOTH if route.try_us else 1.0)
        request = Request(event, route, self.now, event.repeat or self.over_quota(event.tenant))
        self.requests[request.id] = request
        self.costs_seen = min(64, self.costs_seen + 1)
        self.mean_cost_us += (request.cost_us - self.mean_cost_us) / self.costs_seen
        weight = min(1.0, request.cost_us / self.mean_cost_us / 256)
        self.blocking_share += (self.blocks(route) - self.blocking_share) * weight
        # With no marks, a try that ends sooner than most by more than the aim is a repeat and has
        # lost it.
        lost = not self.settings.clients_mark_repeats and left_us < route.try_us - route.patience_us
        if (lost and not route.spec.late_worth) or self.random.random() > self.admitted:
            self.finish(request)
        elif self.queued or not self.place(request):
            self.enqueue(request)

    def over_quota(self, tenant: int) -> bool:
        """Whether a tenant is past its share here: an even part of its quota. An unnamed tenant has
        none.
        """
        if not 0 <= tenant < len(self.quotas):
            return bool(self.quotas)
        rate, quota = (
            self.settings.tenant_quotas_per_s[tenant] / self.settings.balancers,
            self.quotas[tenant],
        )
        quota.earn(rate / 1e6 * (self.now - quota.filled_us), max(1.0, rate))
        quota.filled_us = self.now
        return not quota.spend()

    def enqueue(self, request: Request) -> None:
        """Hold a request in the gateway. Rule 1: its alarm ends it once it can no longer meet its
        aim.
        """
        request.route.queues[request.over].append(request)
        self.queued += 1
        due_us = request.aimed_us - (request.route.latency.percentile(0.5) or request.cost_us)
        # A try elsewhere has to come in time as well, and others may have room while there is none
        # here.
        self.alarm(min(due_us - self.now, HELD * (request.aimed_us - self.now)), self.shed, request)

    def shed(self, request: Request) -> None:
        """No room came here. Others may have some: its client is to try at once, unless load has to
        fall.
        """
        if not request.closed and not request.attempts:
            self.finish(
                request, BACKOFF * request.route.patience_us if self.admitted >= 1.0 else math.inf
            )

    def drain(self) -> None:
        """Send what waits as room allows: worth for cost first; over-quota tenants, marked repeats
        last. Of each the newest first: where not all can be served, the served must not have waited
        their aim away.
        """
        less = (-1.0, -self.settings.over_quota_worth)
        parts = [
            (less[i] * r.spec.worth / r.cost_us, q)
            for r in self.routes
            for i, q in enumerate(r.queues)
        ]
        for _, queue in sorted(parts, key=lambda part: part[0]):
            while queue and (queue[-1].closed or self.place(queue[-1])):
                queue.pop()
                self.queued -= 1
            while queue and queue[0].closed:
                queue.popleft()
                self.queued -= 1

    def finish(self, request: Request, away_us: float = math.inf) -> None:
        """Rule 1: the one place that gives a final answer of our own, with advice when to come
        back.
        """
        wait_us = (
            int(min(away_us, self.settings.max_retry_after_us)) if self.settings.retry_after else 0
        )
        self.actions.append(
            Refuse(request.id, wait_us) if may_refuse(request) else Fail(request.id)
        )
        self.close(request)

    def close(self, request: Request) -> None:
        """Nothing is sent from here on. The first terminal outcome calls off the copies still
        out.
        """
        if not request.closed and self.settings.cancelling:
            self.actions += [
                Cancel(request.id, i) for i, a in enumerate(request.attempts) if not a.outcome
            ]
        request.closed = True
        if not request.out:
            self.requests.pop(request.id, None)

    def on_departed(self, event: Departed) -> None:
        if (request := self.requests.get(event.request)) is not None:
            self.close(request)

    def place(self, request: Request) -> bool:
        if (server := self.pick(request)) is not None:
            self.send(request, server)
        return server is not None

    def parallel(self, spec: Route) -> bool:
        return self.settings.parallel_tries and spec.effect is not Effect.UNSAFE

    def may_send(self, request: Request, server: ServerState) -> bool:
        """The one gate before every send: rule 2, then 3, then 4."""
        spec = request.route.spec
        spent = len(request.attempts) >= self.settings.max_attempts
        if request.closed or spent or (request.out and not self.parallel(spec)):
            return False
        if spec.effect is not Effect.SAFE and (ran := request.may_have_run()):
            there, here = ran[0].server.spec, server.spec
            same = {
                Group.ALL: True,
                Group.ZONE: there.zone == here.zone,
                Group.CELL: there.cell == here.cell,
            }
            known = same[spec.group] and self.now < ran[0].sent_us + spec.memory_span_us
            if spec.effect is Effect.UNSAFE or not known:
                return False
        return server.spec.state is State.READY and self.may_warm(request, server)

    def is_cold(self, s: ServerState) -> bool:
        return (
            bool(s.spec.started_us) and self.now < (s.spec.started_us or 0) + self.settings.cold_us
        )

    def core_speed(self, s: ServerState) -> float:
        """Work in a unit of time that its core surely does: as warm ones of its kind, less what is
        cold.
        """
        return float(self.warmth(s) * 2.0 ** -self.pace[s.spec.kind])

    def warmth(self, s: ServerState) -> float:
        """The part of its capacity that a server surely has by now."""
        if not self.is_cold(s):
            return 1.0
        told, since_us = self.settings, max(0, self.now - (s.spec.started_us or 0))
        return told.cold_from + (1.0 - told.cold_from) * since_us / told.cold_us

    def rest(self, s: ServerState, cost_us: float) -> None:
        """Rule 4, slow start: work sent to a cold server is followed by the rest that keeps to an
        even share of what it can do. The first rest is drawn: guards against all balancers sending
        at the same time.
        """
        s.rest_until_us = max(s.rest_until_us, self.now) + self.rest_us(s, cost_us)

    def rest_us(self, s: ServerState, cost_us: float) -> int:
        """How long our even share of what a cold server can do takes to do this work."""
        told = self.settings
        cores = max(1.0, s.spec.hint) if told.hints_are_sizes else 1.0
        return int(cost_us / (self.cold_load * cores * self.core_speed(s) / told.balancers))

    def lapse(self, s: ServerState) -> None:
        """A turn not used in time comes again a rest later. Guards against a burst after a calm
        stretch, in which all balancers at once would use the turns that they kept.
        """
        late_us = self.now - s.rest_until_us - COLD_SAFETY * self.settings.fall_window_us
        if late_us > 0:
            rest_us = max(1, self.rest_us(s, self.mean_cost_us))
            s.rest_until_us += math.ceil(late_us / rest_us) * rest_us

    def may_warm(self, request: Request, s: ServerState) -> bool:
        """Whether a cold server may have a request: our share allows it, and it can be served in
        time.
        """
        if not self.is_cold(s):
            return True
        self.lapse(s)
        left_us = request.useful_us - self.now
        return s.rest_until_us <= self.now and request.cost_us <= self.core_speed(s) * left_us

    def pick(self, request: Request) -> ServerState | None:
        """The design's pick: of two drawn, higher payoff / (1 + in flight) wins, 1 in 20 the
        lower.
        """
        for s in (
            self.cold
        ):  # a turn unused is lost to all: guards against a fleet left cold by a deploy
            if self.is_cold(s) and s.well(self.now) and self.open(request, s):
                return s
        near = self.window()  # there no lanes: only a full view tells their share of the work
        lane, part = (self.candidates, 1.0) if near else (self.lane(request.route), LOCAL)
        local = [s for s in near or lane if s.spec.zone == self.settings.zone]
        pool = near or local
        if not (a := self.draw(request, local, part) or self.draw(request, pool, part)):
            panic = not any(s.well(self.now) for s in lane)  # guards against ejecting a whole fleet
            pool, part = lane, 1.0
            if not (a := self.draw(request, lane, panic=panic)):
                return None
        b = self.draw(request, pool, part, a) or a
        better, worse = (a, b) if self.score(a) >= self.score(b) else (b, a)
        return worse if self.random.random() < EXPLORE else better

    def window(self) -> list[ServerState] | None:
        """The servers to draw from: as many as own traffic keeps a fresh record of, from a place in
        the order set by own number. Guards against knowing none of them where many balancers share
        a fleet, and against connections that grow as balancers times servers.
        """
        n, width, told = len(self.candidates), max(FEWEST, int(self.recent / RECORD)), self.settings
        if width >= n:
            return None
        ring = (self.candidates * 2)[n * told.number // told.balancers :][:n]
        # Local ones come in by the price of a crossing, against the misses that load shedding would
        # bear.
        most = round(width * min(LOCAL, told.price_cross_zone / (1.0 - TARGET)))
        local = [s for s in ring if s.spec.zone == told.zone][:most]
        return local + [s for s in ring if s not in local][: width - len(local)]

    def draw(
        self,
        request: Request,
        pool: list[ServerState],
        part: float = 1.0,
        other: ServerState | None = None,
        panic: bool = False,
    ) -> ServerState | None:
        """The first server with room from a random place on; one tried before only if there is no
        other.
        """
        n, tried = len(pool), [a.server for a in request.attempts]
        start = int(self.random.random() * n)
        if len(self.pace) > 1 and 0 < n < len(self.candidates):
            # Drawn by the speed of its kind: in a window too few are in flight for the discount to
            # tell.
            start = self.random.choices(range(n), [2.0 ** -self.pace[s.spec.kind] for s in pool])[0]
        for i in range(start, start + n):
            s = pool[i % n]
            fresh = s not in tried or (len(self.candidates) == 1 and not request.out)
            if (
                s is not other
                and fresh
                and (panic or s.well(self.now))
                and self.open(request, s, part)
            ):
                return s
        return None

    def open(self, request: Request, s: ServerState, part: float = 1.0) -> bool:
        roomy = s.in_flight + 1 <= max(1.0, part * self.share)
        return (
            roomy and (self.is_cold(s) or self.out < self.most_out()) and self.may_send(request, s)
        )

    def most_out(self) -> float:
        """Where an own share of one server is less than a request, the shares of all that are warm
        and well bound the attempts out at them. Guards against many balancers with a request each
        at a server that holds a few. (Cold servers have a bound of their own.)
        """
        if self.share >= 1.0:
            return math.inf
        if self.now >= self.room_until_us:
            warm = sum(s.well(self.now) and not self.is_cold(s) for s in self.candidates)
            self.room, self.room_until_us = max(1.0, self.share * warm), self.now + ROOM_US
        return self.room

    def blocks(self, route: RouteState) -> bool:
        """Whether a route's requests run longer than another's aim: short ones behind them miss
        theirs.
        """
        return route.samples > 0 and route.cost_us > min(r.patience_us for r in self.routes)

    def lane(self, route: RouteState) -> list[ServerState]:
        """Blocking requests keep to a part of the common order in proportion to their part of the
        work.
        """
        n = len(self.candidates)
        k = (
            min(n - 1, max(1, round(n * self.blocking_share)))
            if n > 1 and self.blocking_share > 0.0
            else 0
        )
        return (
            (self.candidates[:k] or self.candidates) if self.blocks(route) else self.candidates[k:]
        )

    def score(self, s: ServerState) -> float:
        crossing = self.settings.price_cross_zone * (s.spec.zone != self.settings.zone)
        return (self.payoff(s) - crossing) / (1.0 + s.in_flight / max(1.0, self.share))

    def send(self, request: Request, server: ServerState) -> None:
        route, attempt = (
            request.route,
            Attempt(server, self.now, request.cost_us, not self.is_cold(server)),
        )
        # Rule 2 binds at the write, and a connection may first have to come up.
        ran = request.may_have_run() if route.spec.effect is Effect.KEYED else []
        before_us = ran[0].sent_us + route.spec.memory_span_us if ran else 0
        if not request.attempts:
            # None saves more than it earns of late: guards against many buckets that together hold
            # a storm.
            route.budget.earn(EARN, max(1.0, min(TOKENS, SAVED * self.recent)))
        request.attempts.append(attempt)
        request.out += 1
        server.in_flight += 1
        self.out += attempt.warm
        attempt.hinted = request.hinted
        attempt.full = server.in_flight + 1 > max(1.0, self.share) or self.out + 1 > self.most_out()
        if self.is_cold(server):
            self.rest(server, request.cost_us)
        route.due.append((self.now + route.patience_us, attempt))
        self.actions.append(Send(request.id, server.spec.id, before_us=before_us))
        if (
            self.parallel(route.spec)
            and (wait_us := route.latency.percentile(HEDGE_AT)) is not None
        ):
            self.alarm(wait_us, self.hedge, request)

    def hedge(self, request: Request) -> None:
        """A second copy of a slow request; it spends a token, and sheds itself where others
        wait.
        """
        wanted = not request.closed and request.out == 1 and not self.queued
        if wanted and (server := self.pick(request)) is not None and request.route.budget.spend():
            self.send(request, server)

    def on_done(self, event: AttemptDone) -> None:
        request = self.requests.get(event.request)
        if request is None or (attempt := request.attempts[event.attempt]).outcome is not None:
            return
        attempt.outcome = event.outcome
        request.out -= 1
        self.learn(request.route, attempt, event)
        if event.closed or event.outcome is Outcome.SUCCESS or request.closed:
            self.close(request)
        elif (
            not request.out
        ):  # a retry group ended without an answer: attempts, classifier and budget decide
            left = len(request.attempts) < self.settings.max_attempts
            again = left and classify(request, event.outcome) and request.route.budget.spend()
            (self.back_off if again else self.finish)(request)

    def back_off(self, request: Request) -> None:
        """Waits grow between retry groups; spent time ends the request."""
        wait_us = (
            request.route.patience_us * BACKOFF * 2.0**request.groups * (0.5 + self.random.random())
        )
        request.groups += 1
        if self.now + wait_us + request.cost_us < request.useful_us:
            self.alarm(wait_us, self.send_again, request)
        else:
            self.finish(request)

    def send_again(self, request: Request) -> None:
        """With no room it waits again, not in the queue, where it could block those that may go
        anywhere.
        """
        if not request.closed and not self.place(request):
            self.back_off(request)

    def on_stream(self, event: StreamStarted) -> None:
        if (request := self.requests.get(event.request)) is not None:
            request.closed = True  # the answer is the client's now

    def learn(self, route: RouteState, attempt: Attempt, event: AttemptDone) -> None:
        """What an outcome says of its server, its kind and its route."""
        s, outcome = attempt.server, event.outcome
        s.overdue, s.in_flight, self.out = (
            s.overdue - attempt.late,
            s.in_flight - 1,
            self.out - attempt.warm,
        )
        if outcome is Outcome.CANCELLED or outcome is Outcome.MOOT:
            return None
        if not attempt.warm:
            self.thaw(outcome is Outcome.SUCCESS and event.elapsed_us <= route.patience_us)
        if outcome is Outcome.SUCCESS:
            s.ejections = 0
            if attempt.warm and self.admitted >= 1.0:  # a jam tells nothing of the machines
                pace, slowness = (
                    self.pace[s.spec.kind],
                    max(event.elapsed_us / attempt.cost_us, 0.01),
                )
                if attempt.hinted:
                    step = math.log2(slowness) - pace
                    self.pace[s.spec.kind] += step * SMOOTH * (SLOWER if step > 0.0 else 1.0)
                else:
                    # Over a mean cost: most are under it, and the few far over it make up for them.
                    self.pace[s.spec.kind] = math.log2(2.0**pace + (slowness - 2.0**pace) / 64)
            route.samples += 1
            if (
                attempt.alone or route.samples < 64
            ):  # slower and slower, lest a jam become the yardstick
                step = (event.elapsed_us - route.cost_us) / min(route.samples, 1024)
                route.cost_us = max(1.0, route.cost_us + step)  # what it divides is never 0
            if attempt.full and attempt.warm and route.samples >= 64:
                self.resize(event.elapsed_us / route.cost_us)
            aim_us = route.spec.aim_us or route.latency.percentile(0.5) or event.elapsed_us
            route.latency.append(event.elapsed_us)
            if event.elapsed_us <= aim_us:
                return self.credit(s, 1.0)
        if not attempt.late:
            self.blame(s, outcome)

    def thaw(self, in_time: bool) -> None:
        """Most cold servers warm sooner than told and some are bad: answers tell how much they can
        take.
        """
        most = COLD_SAFETY * self.settings.fall_multiple
        change = COLD_GAIN if in_time else -COLD_LOSS
        self.cold_load = min(most, max(most / 4, self.cold_load + change))

    def count_overdue(self) -> None:
        """An attempt out past its aim counts zero at once; guards against servers that go
        silent.
        """
        for route in self.routes:
            while route.due and route.due[0][0] <= self.now:
                attempt = route.due.popleft()[1]
                if attempt.outcome is None:
                    attempt.late = True
                    attempt.server.overdue += 1
                    self.blame(attempt.server)

    def resize(self, crowding: float) -> None:
        """Concurrency limit: a full server's latency tells how many of its requests wait for
        others. Guards against crowding machines that lose speed by it long before a request misses
        its aim.
        """
        self.crowding += (crowding - self.crowding) / 64
        waiting = self.share * self.settings.balancers * (1.0 - 1.0 / max(1.0, self.crowding))
        if waiting > WAITING:
            self.share = max(1.0 / self.settings.balancers, self.share * (1.0 - ROOM))
        elif self.queued:
            self.share *= 1.0 + ROOM

    def freshness(self, s: ServerState) -> float:
        return math.exp(min(0, s.heard_us - self.now) / self.span_us)

    def payoff(self, s: ServerState) -> float:
        """What is known of a server, less sure with age: it fades to the mean of all, and so does
        blame.
        """
        return self.mean_payoff + (s.payoff - self.mean_payoff) * self.freshness(s)

    def credit(self, s: ServerState, worth: float, outcome: Outcome = Outcome.SUCCESS) -> None:
        """One outcome; of a server seen seldom it says much. Load shedding: the share admitted
        falls while too few attempts meet their aim; guards against jams that no limit of one
        balancer can bound.
        """
        if outcome not in BROKEN:
            step = STEER / max(1.0 / SMOOTH, self.recent)
            self.admitted = min(1.0, max(LEAST_ADMITTED, self.admitted + (worth - TARGET) * step))
        known, weight = self.payoff(s), max(SMOOTH, 1.0 - self.freshness(s))
        s.payoff, s.heard_us = known + (worth - known) * weight, self.now
        self.mean_payoff += (worth - self.mean_payoff) * SMOOTH

    def blame(self, s: ServerState, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """Count an outcome as zero; outlier ejection of a server that keeps failing, for longer
        each time.
        """
        self.credit(s, 0.0, outcome)
        if s.payoff >= OUTLIER or s.ejected_until_us > self.now:
            return
        # Guards against the trials of all that share a server jamming what they test.
        sharing = self.settings.balancers * min(1.0, self.recent / max(1, len(self.candidates)))
        first_us = max(
            TRIALS * sharing * self.mean_cost_us, *(r.spec.deadline_us for r in self.routes)
        )
        wait_us = int(first_us * min(4, 2**s.ejections))
        s.ejections += 1
        s.ejected_until_us = s.heard_us = self.now + wait_us
        s.payoff = UNKNOWN
        self.actions.append(Log(f"eject server={s.spec.id} for_ms={wait_us // 1000}"))


HANDLERS: dict[type, Callable[[Balancer, Any], None]] = {
    ServerList: Balancer.on_list,
    Arrived: Balancer.on_arrived,
    Departed: Balancer.on_departed,
    AttemptDone: Balancer.on_done,
    StreamStarted: Balancer.on_stream,
    Alarm: Balancer.on_alarm,
}
