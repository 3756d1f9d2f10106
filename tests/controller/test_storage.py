"""Saves that end anywhere, by a kill or a loss of power, leave the record before or the new one."""

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

from roselink.controller import storage
from roselink.controller.storage import Storage, record_number
from roselink.coordination.effects import Store, VerificationOutcome
from roselink.coordination.state import EMPTY
from roselink.protocol.chain import AcceptorState, ConfigurationState, StoredState, Voter
from roselink.protocol.records import encode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

VOTES = AcceptorState(Voter("10.0.0.1:7500", 7), None, None, None, None)
STEPS = 40  # more than a save has


class ProcessEndedError(Exception):
    """The process has ended here."""


class Disk:
    """Counts the operations of a save, fails at one of them, and knows what was synced."""

    def __init__(
        self, folder: Path, fail_at: int, error: Callable[[], Exception], *, once: bool
    ) -> None:
        self.folder = folder
        self.fail_at = fail_at
        self.error = error
        self.once = once
        self.steps = 0
        self.synced: dict[str, bytes] = {p.name: p.read_bytes() for p in folder.iterdir()}
        self.named: dict[str, bytes] = dict(self.synced)

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
            self.named = {p.name: self.synced.get(p.name, b"") for p in self.folder.iterdir()}
        else:
            self.synced[os.path.basename(path)] = Path(path).read_bytes()

    def remove(self, path: Any) -> None:
        self.step()
        os.remove(path)

    def rename(self, old: Any, new: Any) -> None:
        self.step()
        os.rename(old, new)
        name, came = os.path.basename(os.fsdecode(old)), os.path.basename(os.fsdecode(new))
        if name in self.synced:
            self.synced[came] = self.synced.pop(name)

    def lose_power(self, draw: random.Random) -> None:
        """Each name and each byte that no sync covered is there, missing or torn."""
        now = {p.name: p.read_bytes() for p in self.folder.iterdir()}
        for name in {*now, *self.named}:
            path = self.folder / name
            kept = self.synced.get(name, self.named.get(name, b""))
            if name in now:
                if name not in self.named and draw.random() < 0.4:
                    path.unlink()
                elif now[name] != kept:
                    path.write_bytes(torn(draw, kept, now[name]))
            elif draw.random() < 0.5:
                path.write_bytes(kept)


def torn(draw: random.Random, kept: bytes, written: bytes) -> bytes:
    choice = draw.randrange(3)
    if choice == 0:
        return kept
    if choice == 1:
        return written
    at = draw.randrange(len(written) + 1)
    return written[:at] + bytes(draw.randrange(len(written) - at + 1))


@contextmanager
def faulty(monkeypatch: pytest.MonkeyPatch, disk: Disk) -> Iterator[None]:
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
        patch.setattr(storage, "_fsync", disk.sync)
        patch.setattr(
            storage, "os", SimpleNamespace(remove=disk.remove, listdir=os.listdir, path=os.path)
        )
        yield


def state_of(sequence: int) -> StoredState:
    return StoredState(
        3, ConfigurationState(sequence, sequence, b"document" * 200, b"h" * sequence)
    )


def prepared(folder: Path) -> Storage:
    disk = Storage(str(folder))
    disk.load()
    disk.save(Store.ACCEPTOR, record_number(Store.ACCEPTOR), encode(VOTES))
    save(disk, 1)
    save(disk, 2)
    return disk


def save(disk: Storage, sequence: int) -> None:
    disk.save(Store.STATE, record_number(Store.STATE), encode(state_of(sequence)))


def loaded(folder: Path) -> StoredState | None:
    votes, state = Storage(str(folder)).load()
    assert votes == VOTES
    return state


def test_an_empty_folder_holds_nothing(tmp_path: Path) -> None:
    assert Storage(str(tmp_path / "new")).load() == (None, None)


def test_one_record_alone_counts_for_nothing(tmp_path: Path) -> None:
    disk = Storage(str(tmp_path))
    disk.load()
    disk.save(Store.STATE, record_number(Store.STATE), encode(StoredState(0, EMPTY)))
    assert Storage(str(tmp_path)).load() == (None, None)


def test_hundreds_of_saves_leave_one_generation(tmp_path: Path) -> None:
    disk = prepared(tmp_path)
    for sequence in range(3, 300):
        save(disk, sequence)
    assert loaded(tmp_path) == state_of(299)
    assert len(list(tmp_path.iterdir())) == 4


@pytest.mark.parametrize("at", range(1, STEPS))
@pytest.mark.parametrize("power", [False, True])
def test_a_save_that_ends_anywhere(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, at: int, power: bool
) -> None:
    for seed in range(6 if power else 1):
        folder = tmp_path / str(seed)
        folder.mkdir()
        storing = prepared(folder)
        disk = Disk(folder, at, ProcessEndedError, once=False)
        ended = True
        with faulty(monkeypatch, disk):
            try:
                save(storing, 3)
            except ProcessEndedError:
                ended = False
        if power:
            disk.lose_power(random.Random(seed * 1000 + at))
        found = loaded(folder)
        assert found == state_of(3) or (not ended and found == state_of(2))
        again = Storage(str(folder))
        again.load()
        save(again, 4)
        assert loaded(folder) == state_of(4)
        assert len(list(folder.iterdir())) == 4


@pytest.mark.parametrize("at", range(1, STEPS))
@pytest.mark.parametrize("once", [False, True])
def test_a_disk_that_refuses_anywhere(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, at: int, once: bool
) -> None:
    storing = prepared(tmp_path)
    disk = Disk(tmp_path, at, lambda: OSError(errno.ENOSPC, "full"), once=once)
    ended = True
    with faulty(monkeypatch, disk):
        try:
            save(storing, 3)
        except OSError:
            ended = False
    found = loaded(tmp_path)
    assert found == state_of(3) or (not ended and found == state_of(2))
    save(storing, 4)
    assert loaded(tmp_path) == state_of(4)
    assert len(list(tmp_path.iterdir())) == 4


def test_the_table_covers_a_whole_save(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    storing = prepared(tmp_path)
    disk = Disk(tmp_path, 10**6, ProcessEndedError, once=True)
    with faulty(monkeypatch, disk):
        save(storing, 3)
    assert 10 < disk.steps < STEPS


def flip_a_byte(path: Path, at: int = -1) -> None:
    content = bytearray(path.read_bytes())
    content[at] ^= 1
    path.write_bytes(content)


@pytest.mark.parametrize("suffix", [".dat", ".dir"])
@pytest.mark.parametrize("restarted", [False, True])
def test_a_record_that_rots_is_found_by_reading_it_back(
    tmp_path: Path, suffix: str, restarted: bool
) -> None:
    disk = prepared(tmp_path)
    if restarted:
        disk = Storage(str(tmp_path))
        disk.load()
    assert all(disk.verify(store) is VerificationOutcome.INTACT for store in Store)
    (path,) = tmp_path.glob(f"state-*{suffix}")
    flip_a_byte(path, at=0 if suffix == ".dir" else -1)
    assert disk.verify(Store.STATE) is VerificationOutcome.DAMAGED
    assert disk.verify(Store.ACCEPTOR) is VerificationOutcome.INTACT
    save(disk, 3)
    assert disk.verify(Store.STATE) is VerificationOutcome.INTACT
    assert loaded(tmp_path) == state_of(3)


def test_a_record_that_is_gone_is_damaged_and_one_that_cannot_be_read_is_unknown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = prepared(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(disk.files, "database", failing_database)
        assert disk.verify(Store.STATE) is VerificationOutcome.UNREADABLE
    for path in tmp_path.glob("state-*"):
        path.unlink()
    assert disk.verify(Store.STATE) is VerificationOutcome.DAMAGED


def failing_database(base: str, flag: str) -> Any:
    raise OSError(errno.EIO, "input/output error")


def test_a_save_that_failed_is_not_taken_for_the_durable_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = prepared(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(disk.files, "database", failing_database)
        with pytest.raises(OSError, match="input/output"):
            save(disk, 3)
    assert disk.verify(Store.STATE) is VerificationOutcome.INTACT
    assert loaded(tmp_path) == state_of(2)


def test_a_start_names_what_it_could_not_use(tmp_path: Path) -> None:
    prepared(tmp_path)
    (path,) = tmp_path.glob("state-*.dat")
    flip_a_byte(path)
    disk = Storage(str(tmp_path))
    assert disk.load() == (None, None)
    assert disk.damaged == [(Store.STATE, 2)]
