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
        ("whoever is in the chain may lead", "peer.state_epoch >= replica.since", "True"),
        (
            "a chain of any length",
            "range(len(candidates), min_length - 1, -1)",
            "range(len(candidates), 0, -1)",
        ),
        ("a chain of machines that are cut off", " or not _all_reach_each_other(group):", ":"),
        (
            "whoever joins counts as intact",
            "since = view.epoch + 1 if replica is None",
            "since = 1 if replica is None",
        ),
        ("a leaving machine stays", "self.disk_ok and not self.leaving", "self.disk_ok"),
        ("a bad disk stays", "self.live and self.disk_ok and", "self.live and"),
        (
            "a chain with few intact members does not wait",
            "chain is None or "
            "_awaits_state_transfer(view, chain, peers, policy, is_recent=is_recent)",
            "chain is None",
        ),
        (
            "the wait for the state ends with time",
            "and (is_recent or _state_can_reach(view, peer, members))",
            "and is_recent",
        ),
        (
            "a broken way is not waited for in the first second",
            "and (is_recent or _state_can_reach(view, peer, members))",
            "and _state_can_reach(view, peer, members)",
        ),
        (
            "the wait does not end where the way is broken",
            "and (is_recent or _state_can_reach(view, peer, members))\n",
            "\n",
        ),
        (
            "any voter gives its place up",
            "return index if longest_s >= timeout_s else None",
            "return index",
        ),
        (
            "voters go below what is tolerated",
            "len(voters) > 2 * policy.tolerated + 1",
            "len(voters) > 1",
        ),
        (
            "a joiner need not be stable",
            "if peer.eligible and peer.stable and",
            "if peer.eligible and",
        ),
    ),
    *mutations_of(
        "coordination/acceptor.py",
        COORDINATION,
        (
            "a lower ballot is promised",
            "            return None\n"
            "        if self.promised is not None and request.ballot.sort_key < "
            "self.promised.sort_key:\n            return Refusal(self.voter, request.epoch,",
            "            return None\n        if False:\n"
            "            return Refusal(self.voter, request.epoch,",
        ),
        (
            "a lower ballot is accepted",
            "            return None\n"
            "        if self.promised is not None and request.ballot.sort_key < "
            "self.promised.sort_key:\n            return Refusal(self.voter, epoch,",
            "            return None\n        if False:\n"
            "            return Refusal(self.voter, epoch,",
        ),
        ("votes on any epoch", " and epoch == self.view.epoch + 1", ""),
        ("whoever is no voter votes", "self.voter in self.view.voters", "True"),
        (
            "an accepted view is not reported to a read round",
            "self.is_voter and self.accepted is None",
            "self.is_voter",
        ),
        (
            "a newer view is not reported to a read round",
            "self.view.epoch == epoch\n",
            "self.view.epoch >= 0\n",
        ),
        (
            "an older view is followed",
            "view.epoch <= self.view.epoch",
            "view.epoch == self.view.epoch",
        ),
    ),
    *mutations_of(
        "coordination/proposal_round.py",
        COORDINATION,
        ("the lowest accepted value is kept", "return max(accepted,", "return min(accepted,"),
        ("accepted values are forgotten", "        if not accepted:\n", "        if True:\n"),
        (
            "one promise is enough",
            "if len(self._promises) < majority(self.view)",
            "if len(self._promises) < 1",
        ),
        (
            "one acceptance is enough",
            "len(self._accepted_by) >= majority(self.view)",
            "len(self._accepted_by) >= 1",
        ),
        ("replies of other epochs count", " and reply.epoch == self.view.epoch + 1", ""),
        (
            "a late promise chooses a second value",
            "if not self._concerns(reply) or self.value is not None:",
            "if not self._concerns(reply):",
        ),
        (
            "replies of non-voters count",
            "return is_current and reply.sender in self.view.voters",
            "return is_current",
        ),
    ),
    *mutations_of(
        "coordination/reply_gate.py",
        COORDINATION,
        (
            "votes leave before they are on disk",
            "for version, send in self._buffered if version <= durable]",
            "for version, send in self._buffered]",
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
        ("writes of anyone", "            and replica.voter == sender\n", ""),
        ("records of another epoch", "            and epoch == self.view.epoch\n", ""),
        (
            "the epoch begins before it is on disk",
            "not self.participating or not self._initial_state_is_durable()",
            "not self.participating",
        ),
        (
            "writes go on before they are on disk",
            "if self._forwarded < write.sequence <= self.durable.sequence:",
            "if self._forwarded < write.sequence:",
        ),
        ("a restarted process takes part", "else replica.session == self.session", "else True"),
        (
            "a second sync starts anew",
            "        if self.synced:\n            self._acknowledge()",
            "        if False:\n            self._acknowledge()",
        ),
        (
            "a new view is active at once",
            "        self.active = False\n",
            "",
        ),
        (
            "writes before the sync",
            "message.epoch) or not self.synced:\n            return\n        if message.seq",
            "message.epoch):\n            return\n        if message.seq",
        ),
        (
            "every active member is the tail",
            "return self.participating and self.active and self._successor is None",
            "return self.participating and self.active",
        ),
        (
            "every member queues reads",
            "return self.participating and self._successor is None",
            "return self.participating",
        ),
        (
            "a member outside the chain queues reads",
            "return self.participating and self._successor is None",
            "return self._successor is None",
        ),
        (
            "an acknowledgement before the state is forwarded counts",
            "        if not self._epoch_started:\n            raise",
            "        if False:\n            raise",
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
            "one reply confirms",
            "len(self._confirmed_by) < majority(view)",
            "len(self._confirmed_by) < 1",
        ),
        ("a no confirms", "if not reply.is_newest or reply.sender", "if reply.sender"),
        ("replies to an older round confirm", "            or reply.round != self._round\n", ""),
        ("whoever is no voter confirms", " or reply.sender not in view.voters", ""),
        (
            "a round of the former view holds up the reads of the next",
            "        self._in_flight = []\n        self._queued = []\n        self._view = None\n",
            "        self._view = None\n",
        ),
        (
            "a round of the former view confirms",
            "        self._in_flight = []\n        self._queued = []\n        self._view = None\n",
            "",
        ),
        (
            "a read joins a round under way",
            "self._queued.append(read)",
            "(self._in_flight or self._queued).append(read)",
        ),
    ),
    *mutations_of(
        "coordination/sequencer.py",
        COORDINATION,
        (
            "a change is acknowledged before it is committed",
            "if sequence <= self.chain.committed:",
            "if True:",
        ),
        (
            "pending replies leave before their sequence is committed",
            "if waiting.sequence <= committed]",
            "if True]",
        ),
        ("pending replies outlive the view", "        self._waiting_replies = []\n", ""),
    ),
    *mutations_of(
        "coordination/pending_calls.py",
        COORDINATION,
        (
            "a document of another version is shown",
            "self._newest_read is None or self._newest_read.sequence != reply.sequence",
            "self._newest_read is None",
        ),
        (
            "a late reply makes the newest document go back",
            "if self._newest_read is None or reply.sequence >= self._newest_read.sequence:",
            "if True:",
        ),
    ),
    *mutations_of(
        "coordination/state.py",
        COORDINATION,
        ("a digest is found across entries", "if offset % _ENTRY.size == 0:", "if True:"),
        (
            "a change that is sent again is validated anew",
            "    if entry is not None:",
            "    if False:",
        ),
        (
            "a generation is accepted twice",
            "change.generation <= state.generation",
            "change.generation < state.generation",
        ),
        ("a change on an older generation is accepted", "change.base < state.generation", "False"),
        (
            "a refusal is not recorded",
            "return Validation(ValidationKind.REFUSE_PERMANENTLY, state.generation)",
            "return Validation(ValidationKind.CONFLICT, state.generation)",
        ),
        ("a recorded refusal is accepted", "        if generation:\n", "        if True:\n"),
        ("a change without a document is accepted", "    if not change.document:", "    if False:"),
    ),
    *mutations_of(
        "coordination/member.py",
        COORDINATION,
        (
            "a wiped machine keeps its name",
            "0 if self._is_bootstrapping else self._start.fresh_incarnation",
            "0",
        ),
        (
            "a new member speaks before it is on disk",
            "        if self._is_on_disk:\n            self._dispatcher.handle(message, now)",
            "        self._dispatcher.handle(message, now)",
        ),
        (
            "a refused state is not saved again once the disk is healthy",
            "                self.chain.retry_save()\n            return\n",
            "                pass\n            return\n",
        ),
        (
            "a disk with one of the two records is started from",
            "start.acceptor_state is None or start.state is None\n",
            "start.acceptor_state is None\n",
        ),
    ),
    *mutations_of(
        "coordination/messages.py",
        COORDINATION,
        (
            "a change for another epoch is accepted",
            "message.epoch == self.acceptor.view.epoch\n            and ",
            "",
        ),
        (
            "a late reply begins a round before the tail has the state",
            "if self.acceptor.view is None or not self.chain.is_tail:",
            "if self.acceptor.view is None:",
        ),
        (
            "a sync of an unknown view is dropped",
            "        self.adopt_view(message.view, now)\n        if self.chain.on_sync",
            "        if self.chain.on_sync",
        ),
    ),
    *mutations_of(
        "coordination/peer_table.py",
        COORDINATION,
        (
            "a link that carries one way counts",
            "            and self.voter.address in known.heartbeat.reachable\n",
            "",
        ),
        (
            "a sleeper suspects everyone",
            "known.last_heartbeat_at = min(now, known.last_heartbeat_at + pause_s)",
            "pass",
        ),
    ),
    *mutations_of(
        "coordination/disk_health.py",
        COORDINATION,
        ("a large save counts as stuck", "limit_s + self.size / MIN_BYTES_PER_S", "limit_s"),
    ),
    *mutations_of(
        "coordination/proposer.py",
        COORDINATION,
        (
            "joiners come one by one",
            "if planned_for_s < JOIN_BATCH_WINDOW_S and "
            "should_await_joiners(view, planned, peers):",
            "if False:",
        ),
    ),
    *mutations_of(
        "coordination/scrub.py",
        ("tests/coordination/test_scrub.py",),
        (
            "a record is read beside a save",
            "or now < self._next_read_at or not is_idle:",
            "or now < self._next_read_at:",
        ),
        (
            "a second read begins before the first has ended",
            "if self._read_in_flight is not None or now",
            "if now",
        ),
        (
            "a large record is read as fast as a small one",
            "return max(READ_INTERVAL_S * factor, size / MAX_BYTES_PER_S)",
            "return READ_INTERVAL_S * factor",
        ),
    ),
    *mutations_of(
        "coordination/member.py",
        ("tests/coordination/test_scrub.py",),
        (
            "a damaged record stays as it is",
            "            self._rewrite_record(store)\n",
            "            pass\n",
        ),
        (
            "a disk that cannot be read counts as healthy",
            "            self.disk.read_failed()\n",
            "            pass\n",
        ),
    ),
)
