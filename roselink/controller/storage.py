"""The disk of a core member: its acceptor state and its chain state.

Each of these two records is stored as generations of `dbm.dumb` files.

All methods block; only one thread may call them at a time.

`dbm.dumb` rewrites its index in place and syncs nothing. Here a database has one record and is
never changed: a save creates the files of the next generation, syncs both and the folder, and only
then removes the older ones. A record carries its generation and a checksum; the newest generation
whose record is intact is loaded, so a save that was interrupted anywhere leaves the former record.
Unless a removal fails, at most two generations of a record are on the disk, and the files of a
failed save are removed.
"""

from __future__ import annotations

import contextlib
import dbm.dumb
import hashlib
import os
import struct
from dataclasses import dataclass, field
from typing import Protocol

from roselink.coordination.effects import Store, VerificationOutcome
from roselink.protocol.chain import AcceptorState, StoredState
from roselink.protocol.exceptions import RecordError
from roselink.protocol.records import decode

_KEY = b"record"
# Generation, number of the record's type (`protocol.records.record`), checksum.
_HEADER = struct.Struct("!QH16s")
_SUFFIXES = (".dat", ".dir", ".bak")

StoredRecord = AcceptorState | StoredState


@dataclass(frozen=True, slots=True)
class StoredGeneration:
    """One generation of one record on the disk.

    Attributes:
        store: which of the two records.
        generation: its number.
        record: its content; None if it is torn, has a wrong checksum or cannot be decoded.
    """

    store: Store
    generation: int
    record: StoredRecord | None


class Database(Protocol):
    """One open database of `dbm.dumb`."""

    def __getitem__(self, key: bytes) -> bytes:
        """The value of a key."""

    def __setitem__(self, key: bytes, value: bytes) -> None:
        """Write the value of a key."""

    def close(self) -> None:
        """Write the index, and close the files."""


class FileSystem(Protocol):
    """The file operations that `Storage` uses. All raise OSError when the disk fails."""

    def make_folder(self, folder: str) -> None:
        """Create a folder unless it exists."""

    def names(self, folder: str) -> list[str]:
        """The names of the files in a folder."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def sync(self, path: str) -> None:
        """Make a file's bytes, or a folder's names, survive a power failure (fsync)."""

    def database(self, base: str, flag: str) -> Database:
        """Open the database whose files begin with the path `base`.

        Flag `n` creates it, `r` opens it for reading.
        """


class _DumbDatabase(dbm.dumb._Database):
    """`dbm.dumb` that sets no file modes, as a file system may not support them."""

    def _chmod(self, file: str) -> None:
        """Keep the mode that the process's umask gave."""


class LocalFiles:
    """The file system of this machine."""

    def make_folder(self, folder: str) -> None:
        """Create a folder unless it exists."""
        os.makedirs(folder, exist_ok=True)

    def names(self, folder: str) -> list[str]:
        """The names of the files in a folder."""
        return os.listdir(folder)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.remove(path)

    def sync(self, path: str) -> None:
        """Make a file's bytes, or a folder's names, survive a power failure (fsync)."""
        _fsync(path)

    def database(self, base: str, flag: str) -> Database:
        """Open the database whose files begin with the path `base`.

        Flag `n` creates it, `r` opens it for reading.
        """
        return _DumbDatabase(base, "", flag)


@dataclass(slots=True)
class Storage:
    """The records in one folder. Methods raise OSError when the disk fails.

    Attributes:
        folder: the folder, created by `load`.
        files: the file system.
        damaged: the generations that `load` found torn, with a wrong checksum or not decodable.
    """

    folder: str
    files: FileSystem = field(default_factory=LocalFiles)
    damaged: list[tuple[Store, int]] = field(default_factory=list)
    # Of each record, the newest generation whose save was started, and the one that is durable.
    _last_started: dict[Store, int] = field(default_factory=dict)
    _durable: dict[Store, int] = field(default_factory=dict)

    def load(self) -> tuple[AcceptorState | None, StoredState | None]:
        """Load both records; both are None unless both are intact."""
        self.files.make_folder(self.folder)
        acceptor = self._load_newest(Store.ACCEPTOR)
        state = self._load_newest(Store.STATE)
        if isinstance(acceptor, AcceptorState) and isinstance(state, StoredState):
            return acceptor, state
        return None, None

    def generations(self) -> list[StoredGeneration]:
        """Read every generation of both records, oldest first; nothing is changed."""
        return [
            StoredGeneration(store, generation, self._read_record(store, generation))
            for store in Store
            for generation in self._list_generations(store)
        ]

    def save(self, store: Store, number: int, payload: bytes) -> None:
        """Make a record durable: once this returns it survives a power failure.

        Args:
            store: which of the two records.
            number: the number of the record's type (`protocol.records.record`).
            payload: the encoded record.
        """
        generation = self._last_started.get(store, 0) + 1
        self._last_started[store] = generation
        base = self._base_path(store, generation)
        try:
            self._write(base, generation, number, payload)
        except OSError:
            self._remove_files(base)
            raise
        self._durable[store] = generation
        for older in self._list_generations(store):
            if older < generation:
                self._remove_files(self._base_path(store, older))

    def verify(self, store: Store) -> VerificationOutcome:
        """Read the durable generation of a record back and check it."""
        try:
            payload = self._read_payload(store, self._durable.get(store, 0))
        except OSError:
            return VerificationOutcome.UNREADABLE
        intact = payload is not None
        return VerificationOutcome.INTACT if intact else VerificationOutcome.DAMAGED

    def _write(self, base: str, generation: int, number: int, payload: bytes) -> None:
        header = _HEADER.pack(generation, number, _checksum(generation, number, payload))
        self._create_database(base, header + payload)
        for suffix in (".dat", ".dir"):
            self.files.sync(base + suffix)
        self.files.sync(self.folder)

    def _create_database(self, base: str, value: bytes) -> None:
        database = self.files.database(base, "n")
        try:
            database[_KEY] = value
        finally:
            database.close()
        with contextlib.suppress(FileNotFoundError):
            self.files.remove(base + ".bak")

    def _load_newest(self, store: Store) -> StoredRecord | None:
        generations = self._list_generations(store)
        self._last_started[store] = max(generations, default=0)
        for generation in sorted(generations, reverse=True):
            record = self._read_record(store, generation)
            if record is not None:
                self._durable[store] = generation
                return record
            self.damaged.append((store, generation))
        return None

    def _read_record(self, store: Store, generation: int) -> StoredRecord | None:
        """The record of one generation, or None when it isn't intact.

        Raises:
            OSError: the disk failed, and nothing is known of the record.
        """
        found = self._read_payload(store, generation)
        if found is None:
            return None
        try:
            decoded: StoredRecord = decode(*found)
        except (ValueError, TypeError, struct.error, RecordError):
            return None
        return decoded

    def _read_payload(self, store: Store, generation: int) -> tuple[int, bytes] | None:
        """The type number and the bytes of one generation's record; None when it isn't intact.

        Raises:
            OSError: the disk failed, and nothing is known of the record.
        """
        try:
            database = self.files.database(self._base_path(store, generation), "r")
            try:
                value = database[_KEY]
            finally:
                database.close()
            _, number, checksum = _HEADER.unpack_from(value)
        except (FileNotFoundError, KeyError, ValueError, SyntaxError, TypeError, struct.error):
            return None
        payload = value[_HEADER.size :]
        return (number, payload) if checksum == _checksum(generation, number, payload) else None

    def _list_generations(self, store: Store) -> list[int]:
        """All generations that have any file, intact or not."""
        generations = set()
        for name in self.files.names(self.folder):
            stem, suffix = os.path.splitext(name)
            prefix, dash, digits = stem.rpartition("-")
            if dash and prefix == store.value and suffix in _SUFFIXES and digits.isdigit():
                generations.add(int(digits))
        return sorted(generations)

    def _base_path(self, store: Store, generation: int) -> str:
        return os.path.join(self.folder, f"{store.value}-{generation:012d}")

    def _remove_files(self, base: str) -> None:
        for suffix in _SUFFIXES:
            with contextlib.suppress(OSError):
                self.files.remove(base + suffix)


def record_number(store: Store) -> int:
    """The number of the type of the record that `store` names."""
    return {Store.ACCEPTOR: 33, Store.STATE: 36}[store]


def _checksum(generation: int, number: int, payload: bytes) -> bytes:
    header = struct.pack("!QH", generation, number)
    return hashlib.blake2b(header + payload, digest_size=16).digest()


def _fsync(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
