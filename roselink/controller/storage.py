"""A core member's disk: two records, each as generations of `dbm.dumb` files. Blocking; for one
worker thread.

`dbm.dumb` rewrites its index in place and syncs nothing. Here a database holds one record and is
never changed: a save makes the files of the next number, syncs both and the folder, and only then
removes those before. A record carries its number and a checksum; the newest generation whose record
is whole counts, so a save that was broken off anywhere leaves the record before it. At most two
generations of a record are on the disk, and what a refused save left is removed.
"""

from __future__ import annotations

import contextlib
import dbm.dumb
import hashlib
import os
import struct
from dataclasses import dataclass, field
from typing import Protocol

from roselink.coordination.effects import Store
from roselink.protocol.chain import AcceptorState, StoredState
from roselink.protocol.exceptions import RecordError
from roselink.protocol.records import decode

_KEY = b"record"
_HEAD = struct.Struct("!QH16s")  # number of the generation, number of the record, checksum
_PARTS = (".dat", ".dir", ".bak")


class Database(Protocol):
    """One open database of `dbm.dumb`."""

    def __getitem__(self, key: bytes) -> bytes: ...

    def __setitem__(self, key: bytes, value: bytes) -> None: ...

    def close(self) -> None: ...


class FileSystem(Protocol):
    """What `Storage` needs of files. Every method raises OSError when the disk refuses."""

    def make_folder(self, folder: str) -> None:
        """Make a folder that may be there already."""

    def names(self, folder: str) -> list[str]:
        """The names of the files in a folder."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def sync(self, path: str) -> None:
        """Make a file's bytes, or a folder's names, outlive a loss of power."""

    def database(self, base: str, flag: str) -> Database:
        """Open the database of these files: `n` for a new one, `r` to read."""


class _Files(dbm.dumb._Database):
    """`dbm.dumb` without setting file modes, which a machine's disk may not offer."""

    def _chmod(self, file: object) -> None:
        """The process's own mode stands."""


class LocalFiles:
    """The files of this machine."""

    def make_folder(self, folder: str) -> None:
        """Make a folder that may be there already."""
        os.makedirs(folder, exist_ok=True)

    def names(self, folder: str) -> list[str]:
        """The names of the files in a folder."""
        return os.listdir(folder)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.remove(path)

    def sync(self, path: str) -> None:
        """Make a file's bytes, or a folder's names, outlive a loss of power."""
        _sync(path)

    def database(self, base: str, flag: str) -> Database:
        """Open the database of these files: `n` for a new one, `r` to read."""
        return _Files(base, "", flag)


@dataclass(slots=True)
class Storage:
    """The records in one folder. Methods raise OSError when the disk refuses."""

    folder: str
    files: FileSystem = field(default_factory=LocalFiles)
    _newest: dict[Store, int] = field(default_factory=dict)

    def load(self) -> tuple[AcceptorState | None, StoredState | None]:
        """What the disk holds; both are None unless both are whole."""
        self.files.make_folder(self.folder)
        votes, state = self._load(Store.ACCEPTOR), self._load(Store.STATE)
        if isinstance(votes, AcceptorState) and isinstance(state, StoredState):
            return votes, state
        return None, None

    def save(self, store: Store, record: int, payload: bytes) -> None:
        """Make a record durable: after a return it outlives a loss of power."""
        number = self._newest.get(store, 0) + 1
        self._newest[store] = number
        base = self._base(store, number)
        try:
            self._write(base, number, record, payload)
        except OSError:
            self._remove(base)
            raise
        for older in self._numbers(store):
            if older < number:
                self._remove(self._base(store, older))

    def _write(self, base: str, number: int, record: int, payload: bytes) -> None:
        self._fill(base, _HEAD.pack(number, record, _checksum(number, record, payload)) + payload)
        for part in (".dat", ".dir"):
            self.files.sync(base + part)
        self.files.sync(self.folder)

    def _fill(self, base: str, value: bytes) -> None:
        files = self.files.database(base, "n")
        try:
            files[_KEY] = value
        finally:
            files.close()
        with contextlib.suppress(FileNotFoundError):
            self.files.remove(base + ".bak")

    def _load(self, store: Store) -> object:
        numbers = self._numbers(store)
        self._newest[store] = max(numbers, default=0)
        for number in sorted(numbers, reverse=True):
            record = self._read(store, number)
            if record is not None:
                return record
        return None

    def _read(self, store: Store, number: int) -> object:
        """The record of one generation, or None when it isn't whole. OSError: nothing is known of
        it.
        """
        try:
            files = self.files.database(self._base(store, number), "r")
            try:
                value = files[_KEY]
            finally:
                files.close()
            _, record, checksum = _HEAD.unpack_from(value)
            payload = value[_HEAD.size :]
            if checksum != _checksum(number, record, payload):
                return None
            return decode(record, payload)
        except (
            FileNotFoundError,
            KeyError,
            ValueError,
            SyntaxError,
            TypeError,
            struct.error,
            RecordError,
        ):
            return None

    def _numbers(self, store: Store) -> list[int]:
        """The numbers of all generations that have any file, whole or not."""
        numbers = set()
        for name in self.files.names(self.folder):
            stem, part = os.path.splitext(name)
            kind, dash, number = stem.rpartition("-")
            if dash and kind == store.value and part in _PARTS and number.isdigit():
                numbers.add(int(number))
        return sorted(numbers)

    def _base(self, store: Store, number: int) -> str:
        return os.path.join(self.folder, f"{store.value}-{number:012d}")

    def _remove(self, base: str) -> None:
        for part in _PARTS:
            with contextlib.suppress(OSError):
                self.files.remove(base + part)


def record_number(store: Store) -> int:
    """The number of the record that a store holds."""
    return {Store.ACCEPTOR: 33, Store.STATE: 36}[store]


def _checksum(number: int, record: int, payload: bytes) -> bytes:
    head = struct.pack("!QH", number, record)
    return hashlib.blake2b(head + payload, digest_size=16).digest()


def _sync(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
