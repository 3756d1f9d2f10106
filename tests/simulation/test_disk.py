"""Saves that a crash, a power failure or a full disk interrupts at any disk operation.

Each test loads the records from every state in which the disk may be left.
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
STATE_LIMIT = 150  # states after each operation; if there are more, random ones
STATE_LIMIT_MANY_SEEDS = 30_000  # with `many_seeds`, where nearly all states are enumerated
OPERATIONS = 30  # more than a save has
RECORD_FILES = 4  # of both records
STATE_LIMITS = [STATE_LIMIT, pytest.param(STATE_LIMIT_MANY_SEEDS, marks=pytest.mark.many_seeds)]


def votes(round_number: int) -> AcceptorState:
    return AcceptorState(VOTER, View(round_number, (VOTER,), ()), None, None, None)


def state(sequence: int) -> StoredState:
    """Its second half is only history, so that zeros in its place still decode as a record."""
    return StoredState(
        3, ConfigurationState(sequence, sequence, b"document" * 5, b"h" * (300 + sequence))
    )


def storage_with_saved_records(files: MemoryFiles) -> Storage:
    """A storage with both records, each saved twice."""
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


def power_failure_states(
    files: MemoryFiles, rng: random.Random, state_limit: int
) -> list[dict[str, bytes]]:
    """The distinct states that a power failure may leave, or random ones if there are too many."""
    if files.count_power_failure_states() <= state_limit:
        found = list(files.power_failure_states())
    else:
        found = [files.random_power_failure_state(rng) for _ in range(state_limit)]
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
def test_torn_write_leaves_the_expected_content(kept: Kept, content: bytes) -> None:
    assert Write(2, b"XYZ").apply(b"abcd", kept) == content


def test_only_synced_content_and_names_survive_every_power_failure() -> None:
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
    assert {} in found  # a rename changes two names, each kept or lost independently


@pytest.mark.parametrize("state_limit", STATE_LIMITS)
@pytest.mark.parametrize("store", list(Store))
@pytest.mark.parametrize("operation", range(1, OPERATIONS))
def test_crash_during_a_save_keeps_the_last_or_the_new_record(
    store: Store, operation: int, state_limit: int
) -> None:
    """A load returns the last durable record or the one being saved, never older data or a mix."""
    files = MemoryFiles()
    storage = storage_with_saved_records(files)
    files.inject_failure(operation, ProcessCrashError, persistent=True)
    completed = True
    try:
        save(storage, store, 3)
    except ProcessCrashError:
        completed = False
    files.clear_failure()
    allowed = {3} if completed else {2, 3}
    states_after_crash = [{name: file.content for name, file in files.present.items()}]
    states_after_crash += power_failure_states(files, random.Random(operation), state_limit)
    for contents in states_after_crash:
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


@pytest.mark.parametrize("state_limit", STATE_LIMITS)
@pytest.mark.parametrize("store", list(Store))
@pytest.mark.parametrize("operation", range(1, OPERATIONS))
@pytest.mark.parametrize("persistent", [False, True])
def test_failed_write_during_a_save_keeps_the_last_or_the_new_record(
    store: Store, operation: int, state_limit: int, *, persistent: bool
) -> None:
    """Power may fail after the failed save, and after the next save."""
    files = MemoryFiles()
    storage = storage_with_saved_records(files)
    files.inject_failure(operation, disk_full_error, persistent=persistent)
    completed = True
    try:
        save(storage, store, 3)
    except OSError:
        completed = False
        if not persistent:
            assert len(files.present) == RECORD_FILES  # the failed save has freed its space
    files.clear_failure()
    for contents in power_failure_states(files, random.Random(operation), state_limit):
        kept_votes, kept_state = load(contents)
        assert kept_votes is not None
        assert kept_votes.view is not None
        assert kept_state is not None
        newest = kept_votes.view.epoch if store is Store.ACCEPTOR else kept_state.state.sequence
        assert newest in ({3} if completed else {2, 3})
    save(storage, store, 4)
    for contents in power_failure_states(files, random.Random(operation), state_limit):
        kept_votes, kept_state = load(contents)
        assert kept_votes is not None
        assert kept_votes.view is not None
        assert kept_state is not None
        assert (
            kept_votes.view.epoch if store is Store.ACCEPTOR else kept_state.state.sequence
        ) == 4


def test_a_save_has_fewer_operations_than_the_tests_interrupt() -> None:
    files = MemoryFiles()
    storage = storage_with_saved_records(files)
    files.operations = 0
    save(storage, Store.STATE, 3)
    assert 10 < files.operations < OPERATIONS


@pytest.mark.parametrize("operation", range(1, OPERATIONS))
def test_crash_during_the_first_saves_leaves_both_records_or_none(operation: int) -> None:
    """A restart finds either both records or none until both are durable."""
    files = MemoryFiles()
    storage = Storage(FOLDER, files)
    storage.load()
    save(storage, Store.STATE, 1)
    files.inject_failure(operation, ProcessCrashError, persistent=True)
    completed = True
    try:
        save(storage, Store.ACCEPTOR, 1)
    except ProcessCrashError:
        completed = False
    files.clear_failure()
    for contents in power_failure_states(files, random.Random(operation), STATE_LIMIT):
        found = load(contents)
        assert found in (
            [(votes(1), state(1))] if completed else [(None, None), (votes(1), state(1))]
        )


@pytest.mark.parametrize("store", list(Store))
def test_load_ignores_a_single_record(store: Store) -> None:
    files = MemoryFiles()
    storage = Storage(FOLDER, files)
    storage.load()
    save(storage, store, 1)
    assert Storage(FOLDER, files).load() == (None, None)
