"""The background scrub: its pace, and what follows a record that was found damaged."""

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
ALONE = Start(
    address="a:1",
    seeds=("a:1",),
    bootstrap=False,
    tolerated=0,
    session=40,
    fresh_incarnation=50,
    acceptor_state=AcceptorState(VIEW.voters[0], VIEW, None, None, None),
    state=STATE,
)


def scrubbed(
    seconds: float,
    session: int = 40,
    sizes: dict[Store, int] = SMALL,
    *,
    is_idle: bool = True,
) -> list[tuple[float, Store]]:
    """When which record is read, if each read ends at once."""
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


def test_both_records_are_read_in_turn_at_a_slow_pace() -> None:
    reads = scrubbed(300.0)
    assert [store for _, store in reads[:4]] == [*Store, *Store]
    gaps = [after - before for (before, _), (after, _) in itertools.pairwise(reads)]
    assert min(gaps) >= MIN_INTERVAL_FACTOR * READ_INTERVAL_S
    assert max(gaps) <= (MIN_INTERVAL_FACTOR + 1.0) * READ_INTERVAL_S + TICK_S
    assert reads[0][0] >= MIN_INTERVAL_FACTOR * READ_INTERVAL_S  # not beside the start


def test_members_read_at_different_times() -> None:
    assert len({scrubbed(30.0, session)[0][0] for session in (3, 40, 95, 1234567)}) == 4


def test_a_large_record_is_read_at_a_bounded_rate() -> None:
    size = int(60.0 * MAX_BYTES_PER_S)
    reads = scrubbed(600.0, sizes={Store.ACCEPTOR: 0, Store.STATE: size})
    assert sum(store is Store.STATE for _, store in reads) * size <= 600.0 * MAX_BYTES_PER_S


def test_nothing_is_read_beside_a_save_or_an_agreement_and_one_read_at_a_time() -> None:
    assert scrubbed(300.0, is_idle=False) == []
    effects: list[Effect] = []
    scrubber = Scrubber(40, effects.append)
    for step in range(1000):
        scrubber.request_due_read(step * 1.0, SMALL, is_idle=True)
    assert effects == [VerifyRecord(Store.ACCEPTOR)]


class Alone:
    """A member that is its whole core, with a disk that ends each save at once."""

    def __init__(self) -> None:
        self.now = 100.0
        self.seen: list[Effect] = []
        self.member = Member(ALONE, self.now)
        self.perform(self.member.begin(self.now))
        while not self.member.chain.active:
            self.tick()
        self.seen.clear()

    def tick(self) -> None:
        self.now += TICK_S
        self.perform(self.member.tick(self.now))

    def perform(self, effects: list[Effect]) -> None:
        self.seen += effects
        for effect in effects:
            if isinstance(effect, Persist):
                self.perform(self.member.persisted(effect.store, self.now))

    def read_one(self, outcome: VerificationOutcome) -> Store:
        """Run until a record is read, with this outcome."""
        while not self.seen or not isinstance(self.seen[-1], VerifyRecord):
            self.tick()
        read = self.seen[-1]
        assert isinstance(read, VerifyRecord)
        self.seen.clear()
        self.perform(self.member.verified(read.store, outcome, self.now))
        return read.store


def test_an_intact_record_is_left_alone() -> None:
    alone = Alone()
    alone.read_one(VerificationOutcome.INTACT)
    assert alone.seen == []
    assert (alone.member.scrubber.checks, alone.member.scrubber.damaged) == (1, 0)
    assert alone.member.scrubber.checked_at == alone.now


def test_a_damaged_record_is_written_anew() -> None:
    alone = Alone()
    assert alone.read_one(VerificationOutcome.DAMAGED) is Store.ACCEPTOR
    acceptor = Persist(Store.ACCEPTOR, encode(alone.member.acceptor.to_record()))
    assert alone.seen == [RecordDamaged(Store.ACCEPTOR, 1), acceptor]
    alone.seen.clear()
    assert alone.read_one(VerificationOutcome.DAMAGED) is Store.STATE
    chain = alone.member.chain
    state = Persist(Store.STATE, encode(StoredState(chain.durable_epoch, STATE.state)))
    assert alone.seen == [RecordDamaged(Store.STATE, 2), state]
    assert chain.active
    assert chain.durable == STATE.state


def test_a_disk_that_cannot_read_has_to_take_a_save_before_it_is_healthy() -> None:
    alone = Alone()
    alone.read_one(VerificationOutcome.UNREADABLE)
    assert not alone.member.disk_is_healthy
    assert alone.member.scrubber.checks == 0
    while not alone.member.disk_is_healthy:
        alone.tick()
    assert any(isinstance(effect, Persist) for effect in alone.seen)
