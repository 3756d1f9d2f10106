"""Guards of `roselink/coordination`, the edit that removes each, and the tests that detect it."""

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
        (
            "a member that is not intact heads the chain",
            "peer.state_epoch >= replica.since",
            "True",
        ),
        (
            "a chain below the minimum length is planned",
            "range(len(candidates), min_length - 1, -1)",
            "range(len(candidates), 0, -1)",
        ),
        (
            "a chain of machines that can't reach each other is planned",
            " or not _is_connected(view, group):",
            ":",
        ),
        (
            "a link in doubt counts as broken",
            "        if is_broken if both_stay else not _reach_each_other(one, other):\n",
            "        if not _reach_each_other(one, other):\n",
        ),
        (
            "a joiner needs no link to the members",
            "        if is_broken if both_stay else not _reach_each_other(one, other):\n",
            "        if is_broken:\n",
        ),
        (
            "a joiner counts as intact",
            "since = view.epoch + 1 if replica is None",
            "since = 1 if replica is None",
        ),
        (
            "a leaving member is dropped before enough others are intact",
            "if chain is None or _intact_count(view, chain, peers) <= policy.tolerated:",
            "if chain is None:",
        ),
        (
            "a chain with too few intact members does not wait",
            "chain is None or "
            "_awaits_state_transfer(view, chain, peers, policy, is_recent=is_recent)",
            "chain is None",
        ),
        (
            "the wait for the state ends with the first second",
            "and (is_recent or _state_can_reach(view, peer, members))",
            "and is_recent",
        ),
        (
            "an unreachable member is not awaited in the first second",
            "and (is_recent or _state_can_reach(view, peer, members))",
            "and _state_can_reach(view, peer, members)",
        ),
        (
            "the wait does not end if the state can't reach the member",
            "and (is_recent or _state_can_reach(view, peer, members))\n",
            "\n",
        ),
    ),
    *mutations_of(
        "coordination/peer_status.py",
        COORDINATION,
        ("a leaving machine is eligible", "self.disk_ok and not self.leaving", "self.disk_ok"),
        (
            "a machine with an unhealthy disk is eligible",
            "self.live and self.disk_ok and",
            "self.live and",
        ),
    ),
    *mutations_of(
        "coordination/voter_plan.py",
        COORDINATION,
        (
            "a leaving voter stays a voter",
            "return _first_leaving(voters, peers) if absent is None else absent",
            "return absent",
        ),
        (
            "a process that leaves never waits for a majority of those that stay",
            "return len(staying) > policy.tolerated and",
            "return False and",
        ),
        (
            "a process waits for a majority that can't come",
            "return len(staying) > policy.tolerated and",
            "return",
        ),
        (
            "any voter is replaced by a joiner",
            "return index if longest_s >= timeout_s else None",
            "return index",
        ),
        (
            "voters are removed below the tolerated minimum",
            "len(voters) > required_voters(policy)",
            "len(voters) > 1",
        ),
        (
            "an unstable joiner is added",
            "if peer.eligible and peer.stable and",
            "if peer.eligible and",
        ),
    ),
    *mutations_of(
        "coordination/departure.py",
        COORDINATION,
        (
            "a process ends once it knows the view alone",
            "len(self._stored_by.intersection(view.voters)) >= majority(view)",
            "True",
        ),
        (
            "replies about a former view end a process",
            "            self._stored_by = set()\n",
            "",
        ),
        (
            "a process ends while it is a voter that could be dropped",
            "return self.voter not in view.voters or "
            "len(view.voters) <= required_voters(self.policy)",
            "return True",
        ),
        (
            "a process ends while it is in the chain",
            "if replica_of(view, self.voter) is not None:",
            "if False:",
        ),
        (
            "a process ends while a round is in flight",
            "return not self._rounds_at and",
            "return",
        ),
        (
            "any reply counts as one to the question",
            "if not self.requested or reply.epoch != self._epoch + 1:",
            "if not self.requested:",
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
        ("a vote on any epoch is accepted", " and epoch == self.view.epoch + 1", ""),
        ("a non-voter votes", "self.voter in self.view.voters", "True"),
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
            "an older view is entered",
            "view.epoch <= self.view.epoch",
            "view.epoch == self.view.epoch",
        ),
    ),
    *mutations_of(
        "coordination/proposal_round.py",
        COORDINATION,
        (
            "the value of the lowest accepted ballot is proposed",
            "return max(accepted,",
            "return min(accepted,",
        ),
        ("accepted values are ignored", "        if not accepted:\n", "        if True:\n"),
        (
            "one promise suffices",
            "if len(self._promises) < majority(self.view)",
            "if len(self._promises) < 1",
        ),
        (
            "one acceptance suffices",
            "len(self._accepted_by) >= majority(self.view)",
            "len(self._accepted_by) >= 1",
        ),
        ("replies of other epochs are counted", " and reply.epoch == self.view.epoch + 1", ""),
        (
            "a late promise chooses a second value",
            "if not self._concerns(reply) or self.value is not None:",
            "if not self._concerns(reply):",
        ),
        (
            "replies of non-voters are counted",
            "return is_current and reply.sender in self.view.voters",
            "return is_current",
        ),
    ),
    *mutations_of(
        "coordination/reply_gate.py",
        COORDINATION,
        (
            "votes are sent before they are durable",
            "for version, send in self._buffered if version <= durable]",
            "for version, send in self._buffered]",
        ),
    ),
    *mutations_of(
        "coordination/chain.py",
        COORDINATION,
        (
            "writes out of sequence are appended",
            "message.sequence == self.applied.sequence + 1",
            "message.sequence > 0",
        ),
        ("messages of any sender are accepted", "            and replica.voter == sender\n", ""),
        (
            "messages of another epoch are accepted",
            "            and epoch == self.view.epoch\n",
            "",
        ),
        (
            "the epoch begins before its initial state is durable",
            "not self.participating or not self._initial_state_is_durable()",
            "not self.participating",
        ),
        (
            "writes are forwarded before they are durable",
            "if self._forwarded < write.sequence <= self.durable.sequence:",
            "if self._forwarded < write.sequence:",
        ),
        ("a restarted process participates", "else replica.session == self.session", "else True"),
        (
            "a repeated sync is applied again",
            "        if self.synced:\n            self._acknowledge()",
            "        if False:\n            self._acknowledge()",
        ),
        (
            "a new view is active at once",
            "        self.active = False\n",
            "",
        ),
        (
            "writes before the sync are appended",
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
            "an acknowledgement before the state is forwarded is accepted",
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
            "one confirm reply suffices",
            "len(self._confirmed_by) < majority(view)",
            "len(self._confirmed_by) < 1",
        ),
        ("a negative reply confirms", "if not reply.is_newest or reply.sender", "if reply.sender"),
        ("replies to an older round confirm", "            or reply.round != self._round\n", ""),
        ("a non-voter confirms", " or reply.sender not in view.voters", ""),
        (
            "a round of the previous view blocks the reads of the next",
            "        self._in_flight = []\n        self._queued = []\n        self._view = None\n",
            "        self._view = None\n",
        ),
        (
            "a round of the previous view confirms",
            "        self._in_flight = []\n        self._queued = []\n        self._view = None\n",
            "",
        ),
        (
            "a read joins the round in flight",
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
            "pending replies are sent before their sequence is committed",
            "if waiting.sequence <= committed]",
            "if True]",
        ),
        (
            "pending replies are kept after a change of view",
            "        self._waiting_replies = []\n",
            "",
        ),
    ),
    *mutations_of(
        "coordination/pending_calls.py",
        COORDINATION,
        (
            "a document of another sequence is returned",
            "self._newest_read is None or self._newest_read.sequence != reply.sequence",
            "self._newest_read is None",
        ),
        (
            "a late reply replaces the newest document by an older one",
            "if self._newest_read is None or reply.sequence >= self._newest_read.sequence:",
            "if True:",
        ),
    ),
    *mutations_of(
        "coordination/state.py",
        COORDINATION,
        ("a digest is found inside or across entries", "if offset % _ENTRY.size == 0:", "if True:"),
        (
            "a repeated change is validated again",
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
            "a wiped machine keeps its incarnation",
            "0 if self._is_bootstrapping else self._start.fresh_incarnation",
            "0",
        ),
        (
            "a new member replies before its identity is durable",
            "        if self._is_on_disk:\n            self._dispatcher.handle(message, now)",
            "        self._dispatcher.handle(message, now)",
        ),
        (
            "a failed state save is not retried once the disk is healthy",
            "                self.chain.retry_save()\n            return\n",
            "                pass\n            return\n",
        ),
        (
            "a disk with only one of the two records is restored",
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
            "a one-way link counts as reachable",
            "            and self.voter.address in known.heartbeat.reachable\n",
            "",
        ),
        (
            "a suspended process suspects every peer",
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
            "joiners are added one by one",
            "if planned_for_s < JOIN_BATCH_WINDOW_S and "
            "should_await_joiners(view, planned, peers):",
            "if False:",
        ),
    ),
    *mutations_of(
        "coordination/scrub.py",
        ("tests/coordination/test_scrub.py",),
        (
            "a record is read during a save",
            "or now < self._next_read_at or not is_idle:",
            "or now < self._next_read_at:",
        ),
        (
            "a second read begins before the first has ended",
            "if self._read_in_flight is not None or now",
            "if now",
        ),
        (
            "a large record is read as often as a small one",
            "return max(READ_INTERVAL_S * factor, size / MAX_BYTES_PER_S)",
            "return READ_INTERVAL_S * factor",
        ),
    ),
    *mutations_of(
        "coordination/member.py",
        ("tests/coordination/test_scrub.py",),
        (
            "a damaged record is not rewritten",
            "            self._rewrite_record(store)\n",
            "            pass\n",
        ),
        (
            "an unreadable disk counts as healthy",
            "            self.disk.read_failed()\n",
            "            pass\n",
        ),
    ),
)
