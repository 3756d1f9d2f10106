"""Guards of the fleet, each with the edit that removes it. A guard that no test misses is dead or
untested.

`python -m tests.mutations` removes them one at a time, on copies of the tree, and runs the fast
tests of their area; it names those that nothing caught. `--drawn N --seed S` takes N of them.
"""

from __future__ import annotations

import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import defopt  # type: ignore[import-untyped]

ROOT = Path(__file__).parent.parent
COPIED = ("roselink", "tests", "pyproject.toml", "docs", "README.md")
TIME_LIMIT_S = 400
PASSED, FAILED = 0, 1  # pytest's exit statuses

COORDINATION = (
    "tests/coordination",
    "tests/simulation/test_search.py",
    "tests/simulation/test_days.py",
)
STORAGE = ("tests/simulation/test_disk.py", "tests/controller/test_storage.py")
PULLS = (
    "tests/controller/test_pulls.py",
    "tests/controller/test_host_versions.py",
    "tests/simulation/test_days.py",
)
PULLER = ("tests/distribution", "tests/simulation/test_days.py")
MEMBERSHIP = ("tests/budgets",)
DATAPLANE = ("tests/dataplane",)
POOL = ("tests/gateway/test_upstream.py", "tests/gateway/test_closes.py", "tests/dataplane")
ROUTING = ("tests/routing",)
ORDERS = ("tests/controller/test_api.py",)
UPDATES = ("tests/controller/test_updates.py",)
PEERS = ("tests/protocol",)


@dataclass(frozen=True, slots=True)
class Mutation:
    """One guard: where it stands, its text (once in the file), what takes its place, and the tests
    to run.
    """

    name: str
    file: str
    guard: str
    instead: str
    tests: tuple[str, ...]

    def apply(self, tree: Path) -> None:
        """Remove the guard from a copy of the tree."""
        path = tree / "roselink" / self.file
        text = path.read_text(encoding="utf-8")
        if text.count(self.guard) != 1:
            raise ValueError(
                f"{self.name}: its guard stands {text.count(self.guard)} times in {self.file}"
            )
        path.write_text(text.replace(self.guard, self.instead), encoding="utf-8")


def _of(file: str, tests: tuple[str, ...], *edits: tuple[str, str, str]) -> list[Mutation]:
    return [Mutation(name, file, guard, instead, tests) for name, guard, instead in edits]


MUTATIONS: tuple[Mutation, ...] = (
    *_of(
        "coordination/views.py",
        COORDINATION,
        ("whoever is in the chain may lead", "peer.state_epoch >= link.since", "True"),
        ("a chain of any length", "range(len(fit), least - 1, -1)", "range(len(fit), 0, -1)"),
        ("a chain of machines that are cut off", " or not _all_hear(group):", ":"),
        (
            "whoever joins counts as intact",
            "since = view.epoch + 1 if link is None",
            "since = 1 if link is None",
        ),
        ("a leaving machine stays", "self.disk_ok and not self.leaving", "self.disk_ok"),
        ("a bad disk stays", "self.live and self.disk_ok and", "self.live and"),
        (
            "a young view does not wait",
            "(settling and _takes_state_over(",
            "(False and _takes_state_over(",
        ),
        (
            "any voter gives its place up",
            "return index if longest >= after_s else None",
            "return index",
        ),
        (
            "voters go below what is tolerated",
            "len(voters) > 2 * rules.tolerated + 1",
            "len(voters) > 1",
        ),
        ("a joiner need not be steady", "if peer.fit and peer.steady and", "if peer.fit and"),
    ),
    *_of(
        "coordination/votes.py",
        COORDINATION,
        (
            "a lower ballot is promised",
            "            return None\n"
            "        if self.promised is not None and asked.ballot.order < "
            "self.promised.order:\n            return Refusal(self.voter, asked.epoch,",
            "            return None\n        if False:\n"
            "            return Refusal(self.voter, asked.epoch,",
        ),
        (
            "a lower ballot is accepted",
            "            return None\n"
            "        if self.promised is not None and asked.ballot.order < "
            "self.promised.order:\n            return Refusal(self.voter, epoch,",
            "            return None\n        if False:\n"
            "            return Refusal(self.voter, epoch,",
        ),
        ("votes on any epoch", " and epoch == self.view.epoch + 1", ""),
        ("the lowest accepted value is kept", "return max(before,", "return min(before,"),
        ("accepted values are forgotten", "        if not before:\n", "        if True:\n"),
        (
            "one promise is enough",
            "if len(self._promises) < majority(self.view)",
            "if len(self._promises) < 1",
        ),
        (
            "one acceptance is enough",
            "len(self._accepted) >= majority(self.view)",
            "len(self._accepted) >= 1",
        ),
        ("whoever is no voter votes", "self.voter in self.view.voters", "True"),
        (
            "an accepted view is not told",
            "self.entitled and self.accepted is None",
            "self.entitled",
        ),
        ("a newer view is not told", "self.view.epoch == epoch\n", "self.view.epoch >= 0\n"),
        (
            "an older view is followed",
            "view.epoch <= self.view.epoch",
            "view.epoch == self.view.epoch",
        ),
        ("answers of other epochs count", " and answer.epoch == self.view.epoch + 1", ""),
        (
            "strangers' answers count",
            "return same and answer.sender in self.view.voters",
            "return same",
        ),
    ),
    *_of(
        "coordination/ballots.py",
        COORDINATION,
        (
            "votes leave before they are on disk",
            "for version, send in self._held if version <= self._durable]",
            "for version, send in self._held]",
        ),
    ),
    *_of(
        "coordination/chain.py",
        COORDINATION,
        (
            "writes out of order",
            "message.sequence == self.applied.sequence + 1",
            "message.sequence > 0",
        ),
        ("writes of anyone", "            and link.voter == sender\n", ""),
        ("records of another epoch", "            and epoch == self.view.epoch\n", ""),
        (
            "the epoch begins before it is on disk",
            "not self.participating or not self._on_disk()",
            "not self.participating",
        ),
        (
            "writes go on before they are on disk",
            "if self._passed < write.sequence <= self.durable.sequence:",
            "if self._passed < write.sequence:",
        ),
        ("a restarted process takes part", "else link.session == self.session", "else True"),
        (
            "a second sync starts anew",
            "        if self.synced:\n            self._acknowledge()",
            "        if False:\n            self._acknowledge()",
        ),
        (
            "a new view is active at once",
            "self.synced = self.active = self._begun = False",
            "self.synced = self._begun = False",
        ),
        (
            "writes before the sync",
            "message.epoch) or not self.synced:\n            return\n        if message.seq",
            "message.epoch):\n            return\n        if message.seq",
        ),
        (
            "lost writes are not sent again",
            "for write in self._unacknowledged:\n                if write.seq",
            "for write in []:\n                if write.seq",
        ),
    ),
    *_of(
        "coordination/reads.py",
        COORDINATION,
        (
            "one answer confirms",
            "len(self._confirmed_by) < majority(view)",
            "len(self._confirmed_by) < 1",
        ),
        ("a no confirms", "if not answer.newest or answer.sender", "if answer.sender"),
        ("answers of an older round confirm", " or answer.round != self._round", ""),
        ("whoever is no voter confirms", " or answer.sender not in view.voters", ""),
        (
            "a read joins a round under way",
            "self._next.append(read)",
            "(self._asking or self._next).append(read)",
        ),
    ),
    *_of(
        "coordination/orders.py",
        COORDINATION,
        (
            "an order is answered before it is committed",
            "if sequence <= self.chain.committed:",
            "if True:",
        ),
        (
            "waiting answers leave too early",
            "if answer.sequence <= self.chain.committed]",
            "if True]",
        ),
        ("answers outlive the view", "self._before, self._answers = [], []", "self._before = []"),
        (
            "a document of another version is shown",
            "self._seen is None or self._seen.sequence != reply.sequence",
            "self._seen is None",
        ),
    ),
    *_of(
        "coordination/state.py",
        COORDINATION,
        ("a digest is found across entries", "if at % _ENTRY.size == 0:", "if True:"),
        ("an order that comes again is judged anew", "    if entry is not None:", "    if False:"),
        (
            "a version is taken twice",
            "order.generation <= state.generation",
            "order.generation < state.generation",
        ),
        ("an order on an older version is taken", "order.base < state.generation", "False"),
        (
            "a refusal is not noted",
            "return Validation(ValidationKind.REFUSE_FOR_GOOD, state.generation)",
            "return Validation(ValidationKind.CONFLICT, state.generation)",
        ),
        ("a noted refusal is taken", "        if generation:\n", "        if True:\n"),
        ("an order without a document is taken", "    if not order.document:", "    if False:"),
    ),
    *_of(
        "coordination/member.py",
        COORDINATION,
        (
            "a wiped machine keeps its name",
            "0 if self._fresh else self._start.fresh_incarnation",
            "0",
        ),
        (
            "a new member speaks before it is on disk",
            "        if self._saved_first:\n            self._messages.handle(message, now)",
            "        self._messages.handle(message, now)",
        ),
        (
            "a disk that holds half is taken",
            "start.votes is None or start.state is None\n",
            "start.votes is None\n",
        ),
    ),
    *_of(
        "coordination/messages.py",
        COORDINATION,
        (
            "an order for another epoch is taken",
            "message.epoch == self.voting.view.epoch\n            and ",
            "",
        ),
        (
            "a sync of an unknown view is dropped",
            "        self.follow(message.view, now)\n        if self.chain.on_sync",
            "        if self.chain.on_sync",
        ),
    ),
    *_of(
        "coordination/peering.py",
        COORDINATION,
        (
            "a link that carries one way counts",
            " and self.own.address in known.heartbeat.heard",
            "",
        ),
        ("a large save counts as stuck", "limit_s + self.size / DISK_BYTES_S", "limit_s"),
        (
            "a sleeper suspects everyone",
            "known.heard_at = min(now, known.heard_at + seconds)",
            "pass",
        ),
    ),
    *_of(
        "controller/storage.py",
        STORAGE,
        (
            "files are not synced",
            "            self.files.sync(base + part)\n",
            "            pass\n",
        ),
        ("the folder is not synced", "        self.files.sync(self.folder)\n", ""),
        (
            "a torn record is taken",
            "if checksum != _checksum(number, record, payload):",
            "if False:",
        ),
        (
            "half of a disk is taken",
            "isinstance(votes, AcceptorState) and isinstance(state, StoredState)",
            "isinstance(votes, AcceptorState)",
        ),
        (
            "a refused save leaves its files",
            "            self._remove(base)\n            raise",
            "            raise",
        ),
    ),
    *_of(
        "controller/api.py",
        ORDERS,
        (
            "an order's base is not part of its name",
            "digest_of(base, body))",
            "digest_of(0, body))",
        ),
        (
            "unclear is told as refused",
            'return _unavailable(request, "unsettled")',
            "return _conflict(request, 0)",
        ),
        (
            "unconfirmed is shown as none",
            '            return _unavailable(request, "unconfirmed")',
            '            return _json(request, 404, {"error": "none"})',
        ),
        (
            "orders are taken while it ends",
            '            return _unavailable(request, "stopping")',
            "            pass",
        ),
    ),
    *_of(
        "controller/app.py",
        ("tests/controller/test_imports.py",),
        ("imports go on while a view is agreed", "            await self._formed()\n", ""),
    ),
    *_of(
        "coordination/proposing.py",
        COORDINATION,
        (
            "joiners come one by one",
            "if wanted_s < JOIN_TOGETHER_S and waits_for_joiners(view, wanted, peers):",
            "if False:",
        ),
    ),
    *_of(
        "controller/updates.py",
        UPDATES,
        (
            "an update's base is not part of its name",
            'struct.pack("!q", base)',
            'struct.pack("!q", 0)',
        ),
        ("an update has a whole document's name", "_DIGEST_PREFIX + ", ""),
        ("an update is merged onto any base", "if base != confirmed.generation:", "if False:"),
        (
            "a merged document is not checked",
            "    if isinstance(checked, Refused):\n",
            "    if False:\n",
        ),
        ("an item stands twice in an update", "elif name in seen:", "elif False:"),
        (
            "an item is both added and removed",
            "elif isinstance(removed, list) and name in removed:",
            "elif False:",
        ),
        (
            "an unconfirmed state is built on",
            "        if confirmed is None:\n            done(OutcomeUnknown())",
            "        if confirmed is None:\n            done(Conflict(0))",
        ),
    ),
    *_of(
        "controller/pulls.py",
        PULLS,
        ("a reply of another view is given", " or confirmation.epoch != self._epoch", ""),
        (
            "an unconfirmed reply is given",
            "if confirmation is None or not self._is_tail or",
            "if not self._is_tail or",
        ),
        (
            "a pull is sent on for ever",
            "if forwarded or self._tail is None:",
            "if self._tail is None:",
        ),
        (
            "a late pull of a former start counts",
            "            if member.incarnation in known.former:\n                return\n",
            "",
        ),
        (
            "a pause is the gateways' silence",
            "        if pause > self._times.pause_s:",
            "        if False:",
        ),
        (
            "a roster before all were heard",
            "        if now < self._collect_until:\n            return\n",
            "",
        ),
        (
            "hosts of an older view are published",
            "if not self._is_tail or epoch != self._epoch:",
            "if not self._is_tail:",
        ),
        (
            "a version begins anew in a view",
            "return max(version, self._epoch << EPOCH_SHIFT) + 1",
            "return version + 1",
        ),
    ),
    *_of(
        "distribution/pull.py",
        PULLER,
        ("a late reply of an earlier call is taken", " or self._open[0] != call", ""),
        (
            "an older configuration is taken",
            "told.configuration > held.configuration and",
            "told.configuration != held.configuration and",
        ),
        ("older hosts are taken", "told.hosts > held.hosts and", "told.hosts != held.hosts and"),
        (
            "an older roster is taken",
            "told.roster > held.roster and",
            "told.roster != held.roster and",
        ),
        (
            "an unconfirmed reply is taken",
            "if reply is None or not reply.confirmed:",
            "if reply is None:",
        ),
        (
            "a reply without the configuration confirms",
            "if told.configuration == held.configuration:",
            "if True:",
        ),
        (
            "the lease begins with the reply",
            "effects = self._take(reply, sent_at)",
            "effects = self._take(reply, now)",
        ),
        (
            "keys outlive their lease",
            "self.confirmed_at + revoke_s - KEY_MARGIN_S",
            "self.confirmed_at + 2 * revoke_s",
        ),
    ),
    *_of(
        "distribution/host_changes.py",
        PULLER,
        ("changes from another version are taken", "if changes.base == held else None", ""),
    ),
    *_of(
        "budgets/roles.py",
        MEMBERSHIP,
        (
            "an ask under an old token is served",
            "        if token < self.token:\n            return Verdict.STALE_TOKEN\n",
            "",
        ),
        ("an owner that was not confirmed serves", " or not self.fresh(now)", ""),
        ("whoever is asked is the owner", "if self.owns(key) else Verdict.NOT_OWNER", ""),
        ("an older roster is taken", "if token <= self.token:", "if token == self.token:"),
    ),
    *_of(
        "budgets/ledger.py",
        MEMBERSHIP,
        (
            "what is admitted is not counted",
            "                bucket.take(amount)\n                record",
            "                record",
        ),
        (
            "a stranger needs no report",
            "if asker not in bucket.askers and ask.report is None:",
            "if False:",
        ),
        ("nothing is held back for the silent", "+ grace - held_back)", "+ grace)"),
        ("a term begins full", "START_PART * self._rule.allowance(limit))", "limit.burst)"),
        ("terms never end", "        self._buckets.clear()\n", "        pass\n"),
        (
            "what was admitted alone is not counted",
            "bucket.take(ask.alone - ask.returned)",
            "bucket.take(-ask.returned)",
        ),
    ),
    *_of(
        "budgets/repeats.py",
        MEMBERSHIP,
        (
            "a new term lends the whole slack",
            "return self._first if age_s < self._window_s else self._most",
            "return self._most",
        ),
        (
            "a term lends at its beginning",
            "        if age_s < FIRST_S:\n            return 0.0\n",
            "",
        ),
        ("lent repeats are forgotten", "            term.lent.append(now)\n", "            pass\n"),
    ),
    *_of(
        "protocol/peers.py",
        PEERS,
        (
            "an answer after its time-out is taken",
            "            done = connection.calls.pop(call, None)\n",
            "            done = connection.calls.get(call)\n",
        ),
        ("a frame that is spoilt is taken", "if zlib.crc32(payload) != checksum:", "if False:"),
    ),
    *_of(
        "dataplane/attempts.py",
        DATAPLANE,
        (
            "a second attempt of what runs once",
            "return not (once and exchange.may_run) and self._owner.wanted(exchange)",
            "return self._owner.wanted(exchange)",
        ),
        (
            "a host of another service",
            "exchange.closed or host.service != exchange.service or",
            "exchange.closed or",
        ),
        (
            "sent again after its time",
            "in_time = self._loop.time() < exchange.give_up_at",
            "in_time = True",
        ),
        (
            "a host is handed the whole time",
            "(exchange.give_up_at - self._loop.time())",
            "(exchange.give_up_at - exchange.request.since)",
        ),
        (
            "a resumed stream begins anew",
            '            last = b"%d" % (exchange.progress.last_id or 0)\n',
            "            pass\n",
        ),
        (
            "an end that may have run is forgotten",
            "            exchange.may_have_run = True\n",
            "            pass\n",
        ),
        (
            "a stream cut short is complete",
            "        elif answer.finish_stream():",
            "        elif answer.finish_stream() or True:",
        ),
        (
            "a failure of a host is held for nobody",
            "            exchange.held = failure\n",
            "            pass\n",
        ),
    ),
    *_of(
        "dataplane/exchange.py",
        DATAPLANE,
        (
            "streams resume on any route",
            "self.begun and self.route.resumable and self.streaming",
            "self.begun and self.streaming",
        ),
        ("streams resume where ids tell nothing", " and self.progress.resumable", ""),
        (
            "two answers go on",
            "return exchange.owner in (None, self) or (exchange.broken and self.resumed)",
            "return True",
        ),
        (
            "half an event at a close is complete",
            "if (by_close and stream.half) or not self._claim(None):",
            "if not self._claim(None):",
        ),
        (
            "a gap is passed over",
            "if stream.gap or stream.held > HOLD_LIMIT:",
            "if stream.held > HOLD_LIMIT:",
        ),
        ("a host's promise is passed on", " or self.status in PROMISES\n            or", " or"),
        (
            "bytes that were sent count as unsent",
            "return self.attempt is not None and self.attempt.sent",
            "return False",
        ),
    ),
    *_of(
        "dataplane/engine.py",
        DATAPLANE,
        (
            "sent for a client that has left",
            "        if exchange.client.gone():",
            "        if False:",
        ),
        (
            "sent with a key that is gone",
            "return held and self._authority.may_use_keys()",
            "return self._authority.may_use_keys()",
        ),
        (
            "sent with a key that is not confirmed",
            "return held and self._authority.may_use_keys()",
            "return held",
        ),
        (
            "a promise for what may have run",
            "        elif not exchange.may_run:\n",
            "        elif True:\n",
        ),
        (
            "an answer that has begun is ended as whole",
            "            exchange.client.cut()\n",
            "            exchange.client.end()\n",
        ),
        (
            "admitted twice",
            "if exchange.closed or exchange.facts is not None:",
            "if exchange.closed:",
        ),
        (
            "taken when its time is over",
            "        if exchange.give_up_at <= self._loop.time():\n            self._refuse(",
            "        if False:\n            self._refuse(",
        ),
        (
            "taken in a drain without its end",
            "        if self._ends_at is not None:\n            exchange.expires_at =",
            "        if False:\n            exchange.expires_at =",
        ),
        (
            "a drain leaves guards where they were",
            "                self._guard_at(exchange, exchange.give_up_at)\n",
            "",
        ),
        (
            "an unconfigured gateway is judged as any",
            "unconfigured_retry_s(request, self._random.random())",
            "0.25",
        ),
        ("a quota's no is passed over", "        if not allowed:\n", "        if False:\n"),
        (
            "what may have run is given back",
            "exchange.tenant is not None and not exchange.may_run:",
            "exchange.tenant is not None:",
        ),
        (
            "attempts outlive their request",
            "        for answer in list(exchange.attempts.values()):\n            answer.cancel()\n"
            "        exchange.owner",
            "        exchange.owner",
        ),
        (
            "no last word at the end of the time",
            "        self._give_up(exchange, GiveUp.OUT_OF_TIME, 0.0)\n\n    # The decider.",
            "\n    # The decider.",
        ),
    ),
    *_of(
        "dataplane/admission.py",
        DATAPLANE,
        (
            "an unknown route is told without being sure",
            "return Refusal(404) if keys_usable else NOT_CONFIRMED",
            "return Refusal(404)",
        ),
        (
            "keys are judged without being sure",
            "    if not keys_usable:\n        return NOT_CONFIRMED\n",
            "",
        ),
        (
            "the client's time alone counts",
            "return min(told, route.timeout_ms / 1000) if route.timeout_ms > 0 else told",
            "return told",
        ),
    ),
    *_of(
        "dataplane/upstream.py",
        DATAPLANE,
        (
            "an answer to another request is taken",
            "if answered != attempt.request_id and not rejected:",
            "if not answered and not rejected:",
        ),
        ("a long request counts as never sent", "if self._sent_bytes > PROVEN_LIMIT:", "if False:"),
        (
            "a connection is kept behind a surplus answer",
            "should_keep_alive() and not self._surplus",
            "should_keep_alive()",
        ),
        (
            "an old connection for what runs once",
            "return not once or fresh or connection.stale()",
            "return True",
        ),
        (
            "a connection that its host may have ended",
            "return self.upstream.now() - self.idle_since > self._keep_s",
            "return False",
        ),
        (
            "a refusal without its promise is taken for one",
            '(status in NOT_RUN and b"x-not-executed" in headers)',
            "status in NOT_RUN",
        ),
        (
            "a success without its stamp is taken",
            'Outcome.SUCCESS if b"x-response-signature" in headers else Outcome.ERROR',
            "Outcome.SUCCESS",
        ),
        (
            "bytes that nobody asked for are kept",
            "            self.drop()  # bytes that no request asked for\n",
            "",
        ),
        ("more connections than a host takes", "return host.open < host.most", "return True"),
        (
            "surplus answers without end",
            "if not answered or self._surplus > SURPLUS_LIMIT:",
            "if not answered:",
        ),
    ),
    *_of(
        "dataplane/events.py",
        DATAPLANE,
        ("a gap in events is not seen", "            self.gap = True\n", "            pass\n"),
        (
            "events that the client has come again",
            "        if self._repeating:\n            return False\n",
            "",
        ),
        (
            "half an event goes on",
            'rest = b"" if self._repeating or self.gap else',
            'rest = b"" if self.gap else',
        ),
        (
            "an event without id is no matter",
            "self._loose = self._loose or not event.comment",
            "pass",
        ),
    ),
    *_of(
        "dataplane/requests.py",
        DATAPLANE,
        ("a client names its tenant", "x-tenant-id x-target-instance", "x-target-instance"),
        ("keys go on to hosts", '"authorization content-length', '"content-length'),
        (
            "two headers that must stand once",
            "        if lower in _ONCE and lower in single:",
            "        if False:",
        ),
    ),
    *_of(
        "dataplane/topology.py",
        DATAPLANE,
        (
            "an address that another host has",
            "            self._upstream.retire(current)\n            current = None",
            "            pass",
        ),
        (
            "a draining host takes requests",
            "        elif current.ready:\n            self._upstream.retire(current)\n",
            "",
        ),
    ),
    *_of(
        "dataplane/server.py",
        DATAPLANE,
        (
            "a cut answer ends in order",
            "        if self._transport is not None and not self._chunked:\n            sock",
            "        if False and self._transport is not None:\n            sock",
        ),
    ),
    *_of(
        "gateway/upstream.py",
        POOL,
        (
            "a connection that is closing is used",
            "            if connection.stale() or connection.unread():\n",
            "            if connection.stale():\n",
        ),
        (
            "bytes right behind an answer meet the next",
            "        settled = attempt.began - SETTLE_S\n",
            "        settled = attempt.began\n",
        ),
        (
            "a connection is kept where a body is still due",
            "if self._keep and not self._excess and not self._unsent:",
            "if self._keep and not self._excess:",
        ),
        (
            "a reset counts as the end",
            "endless\n            and self._look is not None\n"
            "            and not self._look.reset()",
            "endless and self._look is not None",
        ),
        (
            "unsent bytes count as sent",
            "Outcome.CONNECT_FAILED if self._unsent else Outcome.RESET",
            "Outcome.RESET",
        ),
        (
            "sent bytes count as unsent",
            "Outcome.CONNECT_FAILED if self._unsent else Outcome.RESET",
            "Outcome.CONNECT_FAILED",
        ),
    ),
    *_of(
        "routing/classifier.py",
        ROUTING,
        ("what may have run is tried again", "outcome in NEVER_RAN or repeatable", "True"),
        (
            "a relayed failure is tried again",
            "outcome is Outcome.SUCCESS or relayed",
            "outcome is Outcome.SUCCESS",
        ),
    ),
    *_of(
        "routing/request_state.py",
        ROUTING,
        ("attempts without end", "gone_to < self.policy.max_attempts and", ""),
        (
            "half an answer is begun again",
            "self.policy.repeatable and (self.policy.streaming or not self.progressed)",
            "self.policy.repeatable",
        ),
    ),
    *_of(
        "routing/fleet.py",
        ROUTING,
        (
            "repeats draw on no budget",
            "elif self._budget(request.facts.service).spend(self._now):",
            "elif True:",
        ),
        ("a no of the budget is passed over", "        if event.allowed:\n", "        if True:\n"),
        (
            "sent once its time is up",
            "        if self._now >= request.facts.give_up_at:\n"
            "            return self._finish(request)\n",
            "",
        ),
    ),
)


@dataclass(frozen=True, slots=True)
class Result:
    """What became of one mutation."""

    mutation: Mutation
    caught: bool
    seconds: float


def copy_tree(to: Path) -> None:
    """The parts of the project that tests need."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, to / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, to / name)


def judge(mutation: Mutation) -> Result:
    """Remove one guard on a copy, and run its tests."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder)
        copy_tree(tree)
        mutation.apply(tree)
        command = [
            sys.executable,
            "-m",
            "pytest",
            "-x",
            "-q",
            "-p",
            "no:cacheprovider",
            *mutation.tests,
        ]
        environment = {**os.environ, "PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"}
        environment.pop("PYTEST_ADDOPTS", None)
        try:
            ended = subprocess.run(
                command,
                cwd=tree,
                env=environment,
                capture_output=True,
                timeout=TIME_LIMIT_S,
                check=False,
            )
            if ended.returncode not in (PASSED, FAILED):
                raise ValueError(f"{mutation.name}: pytest ended with {ended.returncode}")
            caught = ended.returncode == FAILED
        except subprocess.TimeoutExpired:
            caught = True
    return Result(mutation, caught, time.monotonic() - began)


def run(*, drawn: int | None = None, seed: int = 0, jobs: int = 4, only: str = "") -> int:
    """Remove guards one at a time, and name those that no test missed.

    :param drawn: take only so many, drawn by the seed
    :param seed: of the draw
    :param jobs: how many at a time
    :param only: take those whose name or file has this text
    """
    chosen = [each for each in MUTATIONS if only in each.name or only in each.file]
    if drawn is not None:
        chosen = random.Random(seed).sample(chosen, min(drawn, len(chosen)))
    began = time.monotonic()
    survivors = []
    with ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(judge, chosen):
            if not result.caught:
                survivors.append(result.mutation)
                print(
                    f"not caught ({result.seconds:.0f} s): "
                    f"{result.mutation.file}: {result.mutation.name}",
                    flush=True,
                )
    print(f"{len(chosen)} removed, {len(survivors)} not caught, {time.monotonic() - began:.0f} s")
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
