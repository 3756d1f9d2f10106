"""Saves that end at any step, by a kill or a loss of power, over every state that the disk may be
left in.
"""

from __future__ import annotations

import random

import pytest

from roselink.controller.storage import Storage, record_number
from roselink.coordination.effects import Store
from roselink.protocol.chain import AcceptorState, ConfigurationState, StoredState, View, Voter
from roselink.protocol.records import encode
from roselink.simulation.disk import FOLDER, Kept, MemoryFiles, Write, disk_full_error
from roselink.simulation.exceptions import ProcessCrashError

VOTER = Voter("10.0.0.1:7500", 7)
DRAWN = 150  # states after each step, drawn where there are more
DRAWN_ON_DEMAND = 30_000  # the same with `many_seeds`: nearly all are enumerated
STEPS = 30  # more than a save has
RECORD_FILES = 4  # of both records
BOUNDS = [DRAWN, pytest.param(DRAWN_ON_DEMAND, marks=pytest.mark.many_seeds)]


def votes(round_number: int) -> AcceptorState:
    return AcceptorState(VOTER, View(round_number, (VOTER,), ()), None, None, None)


def state(sequence: int) -> StoredState:
    """Its second half is history alone: zeros in its place still read as a record."""
    return StoredState(
        3, ConfigurationState(sequence, sequence, b"document" * 5, b"h" * (300 + sequence))
    )


def saved(files: MemoryFiles) -> Storage:
    """Both records, each saved twice."""
    storage = Storage(FOLDER, files)
    assert storage.load() == (None, None)
    for number in (1, 2):
        save(storage, Store.ACCEPTOR, number)
        save(storage, Store.STATE, number)
    return storage


def save(storage: Storage, store: Store, number: int) -> None:
    record = votes(number) if store is Store.ACCEPTOR else state(number)
    storage.save(store, record_number(store), encode(record))


def load(contents: dict[str, bytes]) -> tuple[AcceptorState | None, StoredState | None]:
    files = MemoryFiles()
    files.restore(contents)
    return Storage(FOLDER, files).load()


def remains(files: MemoryFiles, rng: random.Random, most: int) -> list[dict[str, bytes]]:
    """All that a loss of power may leave, or so many drawn of it, each once."""
    if files.count_power_failure_states() <= most:
        found = list(files.power_failure_states())
    else:
        found = [files.random_power_failure_state(rng) for _ in range(most)]
    return [dict(each) for each in {tuple(contents.items()) for contents in found}]


@pytest.mark.parametrize(
    ("kept", "content"),
    [
        (Kept.COMPLETE, b"abXYZ"),
        (Kept.MISSING, b"abcd"),
        (Kept.SHORT, b"abXd"),
        (Kept.ZEROED, b"abX\0\0"),
    ],
)
def test_what_is_left_of_a_write(kept: Kept, content: bytes) -> None:
    assert Write(2, b"XYZ").apply(b"abcd", kept) == content


def test_only_what_was_synced_is_sure() -> None:
    files = MemoryFiles()
    with files.open(f"{FOLDER}/a", "w") as opened:
        opened.write("one")
    assert {} in list(files.power_failure_states())
    files.sync(f"{FOLDER}/a")
    assert list(files.power_failure_states()) == [{"a": b"one"}, {}]
    files.sync(FOLDER)
    assert list(files.power_failure_states()) == [{"a": b"one"}]
    files.rename(f"{FOLDER}/a", f"{FOLDER}/b")
    found = list(files.power_failure_states())
    assert {"a": b"one"} in found
    assert {"b": b"one"} in found
    assert {} in found  # a rename is two names, each kept or lost by itself


@pytest.mark.parametrize("most", BOUNDS)
@pytest.mark.parametrize("store", list(Store))
@pytest.mark.parametrize("at", range(1, STEPS))
def test_a_save_cut_off_at_any_step(store: Store, at: int, most: int) -> None:
    """A load gives the last durable record or the one under way, never less and never a mix."""
    files = MemoryFiles()
    storage = saved(files)
    files.inject_failure(at, ProcessCrashError, persistent=True)
    completed = True
    try:
        save(storage, store, 3)
    except ProcessCrashError:
        completed = False
    files.clear_failure()
    allowed = {3} if completed else {2, 3}
    survivors = [{name: file.content for name, file in files.present.items()}]
    survivors += remains(files, random.Random(at), most)
    for contents in survivors:
        kept_votes, kept_state = load(contents)
        assert kept_votes is not None
        assert kept_votes.view is not None
        assert kept_state is not None
        newest = kept_votes.view.epoch if store is Store.ACCEPTOR else kept_state.state.sequence
        other = kept_state.state.sequence if store is Store.ACCEPTOR else kept_votes.view.epoch
        assert newest in allowed
        assert other == 2
        assert kept_votes == votes(kept_votes.view.epoch)
        assert kept_state == state(kept_state.state.sequence)


@pytest.mark.parametrize("most", BOUNDS)
@pytest.mark.parametrize("store", list(Store))
@pytest.mark.parametrize("at", range(1, STEPS))
@pytest.mark.parametrize("on", [False, True])
def test_a_disk_that_refuses_at_any_step(store: Store, at: int, most: int, *, on: bool) -> None:
    """Power may be lost after the refusal, and after the next save."""
    files = MemoryFiles()
    storage = saved(files)
    files.inject_failure(at, disk_full_error, persistent=on)
    completed = True
    try:
        save(storage, store, 3)
    except OSError:
        completed = False
        if not on:
            assert (
                len(files.present) == RECORD_FILES
            )  # a full disk needs the room of what it refused
    files.clear_failure()
    for contents in remains(files, random.Random(at), most):
        kept_votes, kept_state = load(contents)
        assert kept_votes is not None
        assert kept_votes.view is not None
        assert kept_state is not None
        newest = kept_votes.view.epoch if store is Store.ACCEPTOR else kept_state.state.sequence
        assert newest in ({3} if completed else {2, 3})
    save(storage, store, 4)
    for contents in remains(files, random.Random(at), most):
        kept_votes, kept_state = load(contents)
        assert kept_votes is not None
        assert kept_votes.view is not None
        assert kept_state is not None
        assert (
            kept_votes.view.epoch if store is Store.ACCEPTOR else kept_state.state.sequence
        ) == 4


def test_the_steps_cover_a_whole_save() -> None:
    files = MemoryFiles()
    storage = saved(files)
    files.operations = 0
    save(storage, Store.STATE, 3)
    assert 10 < files.operations < STEPS


@pytest.mark.parametrize("cut_at", range(1, STEPS))
def test_a_member_that_ends_in_its_first_saves_is_nobody_yet(cut_at: int) -> None:
    """Until both records are durable a restart finds neither."""
    files = MemoryFiles()
    storage = Storage(FOLDER, files)
    storage.load()
    save(storage, Store.STATE, 1)
    files.inject_failure(cut_at, ProcessCrashError, persistent=True)
    completed = True
    try:
        save(storage, Store.ACCEPTOR, 1)
    except ProcessCrashError:
        completed = False
    files.clear_failure()
    for contents in remains(files, random.Random(cut_at), DRAWN):
        found = load(contents)
        assert found in (
            [(votes(1), state(1))] if completed else [(None, None), (votes(1), state(1))]
        )


@pytest.mark.parametrize("store", list(Store))
def test_one_record_alone_is_nothing(store: Store) -> None:
    files = MemoryFiles()
    storage = Storage(FOLDER, files)
    storage.load()
    save(storage, store, 1)
    assert Storage(FOLDER, files).load() == (None, None)
