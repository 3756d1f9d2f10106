"""The background scrub: its schedule, and the handling of damaged records."""

from __future__ import annotations

import itertools

from roselink.coordination.effects import (
    Effect,
    Persist,
    RecordDamaged,
    Store,
    VerificationOutcome,
    VerifyRecord,
)
from roselink.coordination.member import TICK_S, Member, Start
from roselink.coordination.scrub import (
    MAX_BYTES_PER_S,
    MIN_INTERVAL_FACTOR,
    READ_INTERVAL_S,
    Scrubber,
)
from roselink.coordination.state import EMPTY, apply_change, digest_of
from roselink.coordination.views import first_view
from roselink.protocol.chain import AcceptorState, ConfigurationChange, StoredState
from roselink.protocol.records import encode

SMALL = dict.fromkeys(Store, 0)
VIEW = first_view(("a:1",))
CHANGE = ConfigurationChange(0, 1, b"one", digest_of(0, b"one"))
STATE = StoredState(1, apply_change(EMPTY, CHANGE, refused=False))
SINGLE_MEMBER = Start(
    address="a:1",
    seeds=("a:1",),
    bootstrap=False,
    tolerated=0,
    session=40,
    fresh_incarnation=50,
    acceptor_state=AcceptorState(VIEW.voters[0], VIEW, None, None, None),
    state=STATE,
)


def scheduled_reads(
    seconds: float,
    session: int = 40,
    sizes: dict[Store, int] = SMALL,
    *,
    is_idle: bool = True,
) -> list[tuple[float, Store]]:
    """The time and record of each read, if each read ends at once."""
    effects: list[Effect] = []
    scrubber = Scrubber(session, effects.append)
    reads = []
    for step in range(int(seconds / TICK_S)):
        now = step * TICK_S
        scrubber.request_due_read(now, sizes, is_idle=is_idle)
        for effect in effects:
            assert isinstance(effect, VerifyRecord)
            reads.append((now, effect.store))
            scrubber.on_verified(effect.store, VerificationOutcome.INTACT, now)
        effects.clear()
    assert scrubber.checks == len(reads)
    return reads


def test_records_are_read_alternately_with_bounded_intervals() -> None:
    reads = scheduled_reads(300.0)
    assert [store for _, store in reads[:4]] == [*Store, *Store]
    gaps = [after - before for (before, _), (after, _) in itertools.pairwise(reads)]
    assert min(gaps) >= MIN_INTERVAL_FACTOR * READ_INTERVAL_S
    assert max(gaps) <= (MIN_INTERVAL_FACTOR + 1.0) * READ_INTERVAL_S + TICK_S
    assert reads[0][0] >= MIN_INTERVAL_FACTOR * READ_INTERVAL_S  # none right after the start


def test_members_read_at_different_times_by_session() -> None:
    assert len({scheduled_reads(30.0, session)[0][0] for session in (3, 40, 95, 1234567)}) == 4


def test_large_record_is_read_at_a_bounded_rate() -> None:
    size = int(60.0 * MAX_BYTES_PER_S)
    reads = scheduled_reads(600.0, sizes={Store.ACCEPTOR: 0, Store.STATE: size})
    assert sum(store is Store.STATE for _, store in reads) * size <= 600.0 * MAX_BYTES_PER_S


def test_one_read_at_a_time_and_none_while_not_idle() -> None:
    assert scheduled_reads(300.0, is_idle=False) == []
    effects: list[Effect] = []
    scrubber = Scrubber(40, effects.append)
    for step in range(1000):
        scrubber.request_due_read(step * 1.0, SMALL, is_idle=True)
    assert effects == [VerifyRecord(Store.ACCEPTOR)]


class SingleMember:
    """A member that is the only one of its core; its disk completes each save at once."""

    def __init__(self) -> None:
        self.now = 100.0
        self.effects: list[Effect] = []
        self.member = Member(SINGLE_MEMBER, self.now)
        self.perform(self.member.begin(self.now))
        while not self.member.chain.active:
            self.tick()
        self.effects.clear()

    def tick(self) -> None:
        self.now += TICK_S
        self.perform(self.member.tick(self.now))

    def perform(self, effects: list[Effect]) -> None:
        self.effects += effects
        for effect in effects:
            if isinstance(effect, Persist):
                self.perform(self.member.persisted(effect.store, self.now))

    def read_one(self, outcome: VerificationOutcome) -> Store:
        """Run until a record is read, and report this outcome; returns the record's store."""
        while not self.effects or not isinstance(self.effects[-1], VerifyRecord):
            self.tick()
        read = self.effects[-1]
        assert isinstance(read, VerifyRecord)
        self.effects.clear()
        self.perform(self.member.verified(read.store, outcome, self.now))
        return read.store


def test_intact_record_is_not_rewritten() -> None:
    harness = SingleMember()
    harness.read_one(VerificationOutcome.INTACT)
    assert harness.effects == []
    assert (harness.member.scrubber.checks, harness.member.scrubber.damaged) == (1, 0)
    assert harness.member.scrubber.checked_at == harness.now


def test_damaged_record_is_rewritten_and_reported() -> None:
    harness = SingleMember()
    assert harness.read_one(VerificationOutcome.DAMAGED) is Store.ACCEPTOR
    acceptor = Persist(Store.ACCEPTOR, encode(harness.member.acceptor.to_record()))
    assert harness.effects == [RecordDamaged(Store.ACCEPTOR, 1), acceptor]
    harness.effects.clear()
    assert harness.read_one(VerificationOutcome.DAMAGED) is Store.STATE
    chain = harness.member.chain
    state = Persist(Store.STATE, encode(StoredState(chain.durable_epoch, STATE.state)))
    assert harness.effects == [RecordDamaged(Store.STATE, 2), state]
    assert chain.active
    assert chain.durable == STATE.state


def test_unreadable_disk_is_healthy_again_after_a_save() -> None:
    harness = SingleMember()
    harness.read_one(VerificationOutcome.UNREADABLE)
    assert not harness.member.disk_is_healthy
    assert harness.member.scrubber.checks == 0
    while not harness.member.disk_is_healthy:
        harness.tick()
    assert any(isinstance(effect, Persist) for effect in harness.effects)
