"""Guards of `roselink/coordination`, with the edit that removes each and the tests that miss it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

COORDINATION = (
    "tests/coordination",
    "tests/simulation/test_model_checker.py",
    "tests/simulation/test_scenarios.py",
)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
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
    *mutations_of(
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
    *mutations_of(
        "coordination/ballots.py",
        COORDINATION,
        (
            "votes leave before they are on disk",
            "for version, send in self._held if version <= self._durable]",
            "for version, send in self._held]",
        ),
    ),
    *mutations_of(
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
    *mutations_of(
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
    *mutations_of(
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
    *mutations_of(
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
    *mutations_of(
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
    *mutations_of(
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
    *mutations_of(
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
    *mutations_of(
        "coordination/proposing.py",
        COORDINATION,
        (
            "joiners come one by one",
            "if wanted_s < JOIN_TOGETHER_S and waits_for_joiners(view, wanted, peers):",
            "if False:",
        ),
    ),
)
