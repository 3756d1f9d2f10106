"""A save that a kill, a power loss or a full disk interrupts leaves the old or the new record."""

from __future__ import annotations

import dbm.dumb
import errno
import os
import random
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from roselink.controller import storage as storage_module
from roselink.controller.storage import Storage, record_number
from roselink.coordination.effects import Store, VerificationOutcome
from roselink.coordination.state import EMPTY
from roselink.protocol.chain import AcceptorState, ConfigurationState, StoredState, Voter
from roselink.protocol.records import encode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ACCEPTOR = AcceptorState(Voter("10.0.0.1:7500", 7), None, None, None, None)
MAX_STEPS = 40  # more than the file operations of one save


class ProcessEndedError(Exception):
    """Stands for the end of the process at a step of a save."""


class FaultyDisk:
    """Counts the file operations of a save, fails at one, and records what was synced."""

    def __init__(
        self, folder: Path, fail_at: int, error: Callable[[], Exception], *, once: bool
    ) -> None:
        self.folder = folder
        self.fail_at = fail_at
        self.error = error
        self.once = once
        self.steps = 0
        self.synced: dict[str, bytes] = {p.name: p.read_bytes() for p in folder.iterdir()}
        self.synced_names: dict[str, bytes] = dict(self.synced)

    def step(self) -> None:
        self.steps += 1
        if self.steps == self.fail_at or (self.steps > self.fail_at and not self.once):
            raise self.error()

    def open(self, path: Any, mode: str = "r", **options: Any) -> Any:
        if "r" not in mode or "+" in mode:
            self.step()
        opened = open(path, mode, **options)  # noqa: SIM115
        if mode not in {"r", "rb"}:
            disk = self
            write = opened.write

            class Writer:
                def __enter__(self) -> Any:
                    return self

                def __exit__(self, *failure: object) -> None:
                    opened.close()

                def write(self, data: Any) -> int:
                    disk.step()
                    half = len(data) // 2
                    write(data[:half])
                    opened.flush()
                    disk.step()
                    return half + int(write(data[half:]))

                def __getattr__(self, name: str) -> Any:
                    return getattr(opened, name)

            return Writer()
        return opened

    def sync(self, path: str) -> None:
        self.step()
        if os.path.isdir(path):
            self.synced_names = {
                p.name: self.synced.get(p.name, b"") for p in self.folder.iterdir()
            }
        else:
            self.synced[os.path.basename(path)] = Path(path).read_bytes()

    def remove(self, path: Any) -> None:
        self.step()
        os.remove(path)

    def rename(self, old: Any, new: Any) -> None:
        self.step()
        os.rename(old, new)
        name, new_name = os.path.basename(os.fsdecode(old)), os.path.basename(os.fsdecode(new))
        if name in self.synced:
            self.synced[new_name] = self.synced.pop(name)

    def lose_power(self, rng: random.Random) -> None:
        """Keep, drop or tear at random each file name and content that was not synced."""
        now = {p.name: p.read_bytes() for p in self.folder.iterdir()}
        for name in {*now, *self.synced_names}:
            path = self.folder / name
            kept = self.synced.get(name, self.synced_names.get(name, b""))
            if name in now:
                if name not in self.synced_names and rng.random() < 0.4:
                    path.unlink()
                elif now[name] != kept:
                    path.write_bytes(torn_content(rng, kept, now[name]))
            elif rng.random() < 0.5:
                path.write_bytes(kept)


def torn_content(rng: random.Random, kept: bytes, written: bytes) -> bytes:
    choice = rng.randrange(3)
    if choice == 0:
        return kept
    if choice == 1:
        return written
    length = rng.randrange(len(written) + 1)
    return written[:length] + bytes(rng.randrange(len(written) - length + 1))


@contextmanager
def patched_file_operations(monkeypatch: pytest.MonkeyPatch, disk: FaultyDisk) -> Iterator[None]:
    shim = SimpleNamespace(
        remove=disk.remove,
        unlink=disk.remove,
        rename=disk.rename,
        fsencode=os.fsencode,
        listdir=os.listdir,
    )
    with monkeypatch.context() as patch:
        patch.setattr(dbm.dumb, "_io", SimpleNamespace(open=disk.open))
        patch.setattr(dbm.dumb, "_os", shim)
        patch.setattr(dbm.dumb._Database, "_io", SimpleNamespace(open=disk.open))
        patch.setattr(dbm.dumb._Database, "_os", shim)
        patch.setattr(storage_module, "_fsync", disk.sync)
        patch.setattr(
            storage_module,
            "os",
            SimpleNamespace(remove=disk.remove, listdir=os.listdir, path=os.path),
        )
        yield


def state_of(sequence: int) -> StoredState:
    return StoredState(
        3, ConfigurationState(sequence, sequence, b"document" * 200, b"h" * sequence)
    )


def prepared_storage(folder: Path) -> Storage:
    storage = Storage(str(folder))
    storage.load()
    storage.save(Store.ACCEPTOR, record_number(Store.ACCEPTOR), encode(ACCEPTOR))
    save(storage, 1)
    save(storage, 2)
    return storage


def save(storage: Storage, sequence: int) -> None:
    storage.save(Store.STATE, record_number(Store.STATE), encode(state_of(sequence)))


def load_state(folder: Path) -> StoredState | None:
    acceptor, state = Storage(str(folder)).load()
    assert acceptor == ACCEPTOR
    return state


def test_load_of_a_new_folder_finds_no_records(tmp_path: Path) -> None:
    assert Storage(str(tmp_path / "new")).load() == (None, None)


def test_one_record_without_the_other_is_not_loaded(tmp_path: Path) -> None:
    storage = Storage(str(tmp_path))
    storage.load()
    storage.save(Store.STATE, record_number(Store.STATE), encode(StoredState(0, EMPTY)))
    assert Storage(str(tmp_path)).load() == (None, None)


def test_hundreds_of_saves_leave_one_generation(tmp_path: Path) -> None:
    storage = prepared_storage(tmp_path)
    for sequence in range(3, 300):
        save(storage, sequence)
    assert load_state(tmp_path) == state_of(299)
    assert len(list(tmp_path.iterdir())) == 4


@pytest.mark.parametrize("fail_at", range(1, MAX_STEPS))
@pytest.mark.parametrize("power_loss", [False, True])
def test_a_save_interrupted_at_any_step_leaves_the_old_or_the_new_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fail_at: int, power_loss: bool
) -> None:
    for seed in range(6 if power_loss else 1):
        folder = tmp_path / str(seed)
        folder.mkdir()
        storage = prepared_storage(folder)
        disk = FaultyDisk(folder, fail_at, ProcessEndedError, once=False)
        completed = True
        with patched_file_operations(monkeypatch, disk):
            try:
                save(storage, 3)
            except ProcessEndedError:
                completed = False
        if power_loss:
            disk.lose_power(random.Random(seed * 1000 + fail_at))
        found = load_state(folder)
        assert found == state_of(3) or (not completed and found == state_of(2))
        restarted = Storage(str(folder))
        restarted.load()
        save(restarted, 4)
        assert load_state(folder) == state_of(4)
        assert len(list(folder.iterdir())) == 4


@pytest.mark.parametrize("fail_at", range(1, MAX_STEPS))
@pytest.mark.parametrize("once", [False, True])
def test_a_disk_full_at_any_step_leaves_the_old_or_the_new_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fail_at: int, once: bool
) -> None:
    storage = prepared_storage(tmp_path)
    disk = FaultyDisk(tmp_path, fail_at, lambda: OSError(errno.ENOSPC, "full"), once=once)
    completed = True
    with patched_file_operations(monkeypatch, disk):
        try:
            save(storage, 3)
        except OSError:
            completed = False
    found = load_state(tmp_path)
    assert found == state_of(3) or (not completed and found == state_of(2))
    save(storage, 4)
    assert load_state(tmp_path) == state_of(4)
    assert len(list(tmp_path.iterdir())) == 4


def test_the_failure_points_cover_all_steps_of_a_save(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = prepared_storage(tmp_path)
    disk = FaultyDisk(tmp_path, 10**6, ProcessEndedError, once=True)
    with patched_file_operations(monkeypatch, disk):
        save(storage, 3)
    assert 10 < disk.steps < MAX_STEPS


def flip_a_byte(path: Path, offset: int = -1) -> None:
    content = bytearray(path.read_bytes())
    content[offset] ^= 1
    path.write_bytes(content)


@pytest.mark.parametrize("suffix", [".dat", ".dir"])
@pytest.mark.parametrize("restarted", [False, True])
def test_verify_finds_a_damaged_record(tmp_path: Path, suffix: str, restarted: bool) -> None:
    storage = prepared_storage(tmp_path)
    if restarted:
        storage = Storage(str(tmp_path))
        storage.load()
    assert all(storage.verify(store) is VerificationOutcome.INTACT for store in Store)
    (path,) = tmp_path.glob(f"state-*{suffix}")
    flip_a_byte(path, offset=0 if suffix == ".dir" else -1)
    assert storage.verify(Store.STATE) is VerificationOutcome.DAMAGED
    assert storage.verify(Store.ACCEPTOR) is VerificationOutcome.INTACT
    save(storage, 3)
    assert storage.verify(Store.STATE) is VerificationOutcome.INTACT
    assert load_state(tmp_path) == state_of(3)


def test_verify_reports_a_missing_record_as_damaged_and_a_read_error_as_unreadable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = prepared_storage(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(storage.files, "database", failing_database)
        assert storage.verify(Store.STATE) is VerificationOutcome.UNREADABLE
    for path in tmp_path.glob("state-*"):
        path.unlink()
    assert storage.verify(Store.STATE) is VerificationOutcome.DAMAGED


def failing_database(base: str, flag: str) -> Any:
    raise OSError(errno.EIO, "input/output error")


def test_verify_after_a_failed_save_reads_the_durable_generation(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = prepared_storage(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(storage.files, "database", failing_database)
        with pytest.raises(OSError, match="input/output"):
            save(storage, 3)
    assert storage.verify(Store.STATE) is VerificationOutcome.INTACT
    assert load_state(tmp_path) == state_of(2)


def test_load_lists_the_damaged_generations(tmp_path: Path) -> None:
    prepared_storage(tmp_path)
    (path,) = tmp_path.glob("state-*.dat")
    flip_a_byte(path)
    storage = Storage(str(tmp_path))
    assert storage.load() == (None, None)
    assert storage.damaged == [(Store.STATE, 2)]
