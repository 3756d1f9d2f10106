"""A folder in memory, of which a power failure may lose any part that was not synced.

A file consists of its content at its last sync and the writes since then; a name refers to one file
at present and to one at the folder's last sync. At a power failure each unsynced write is complete,
missing or torn (truncated, or padded with zeros), and each changed name is kept or lost,
independently of all others. `MemoryFiles.power_failure_states` enumerates these states.
"""

from __future__ import annotations

import dbm.dumb
import errno
import importlib.util
import io
import itertools
import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import IO, TYPE_CHECKING, Any

from roselink.simulation.exceptions import ProcessCrashError, StandardLibraryError

if TYPE_CHECKING:
    import random

    from _typeshed import ReadableBuffer, WriteableBuffer

    from roselink.controller.storage import Database

FOLDER = "/disk"


class Kept(Enum):
    """The part of one write that survives a power failure."""

    COMPLETE = "whole"
    MISSING = "missing"
    # The first half of the data.
    SHORT = "short"
    # The first half of the data, and zeros in place of the second half.
    ZEROED = "empty"


@dataclass(frozen=True, slots=True)
class Write:
    """One write to a file.

    Attributes:
        offset: where the data begins, in bytes.
        data: the bytes.
        truncate: whether the file is truncated at the offset before the write.
    """

    offset: int
    data: bytes
    truncate: bool = False

    def apply(self, content: bytes, kept: Kept) -> bytes:
        """The content of a file after the kept part of this write."""
        if kept is Kept.MISSING:
            return content
        data = self.data if kept is Kept.COMPLETE else self.data[: len(self.data) // 2]
        data = data.ljust(len(self.data), b"\0") if kept is Kept.ZEROED else data
        content = content[: self.offset] if self.truncate else content
        content = content.ljust(self.offset, b"\0")
        return content[: self.offset] + data + content[self.offset + len(data) :]


@dataclass(slots=True, eq=False)
class File:
    """One file, independent of its names.

    Attributes:
        synced: its content at the last sync.
        unsynced: the writes since then.
    """

    synced: bytes = b""
    unsynced: list[Write] = field(default_factory=list)

    @property
    def content(self) -> bytes:
        """The content that a reader sees."""
        content = self.synced
        for write in self.unsynced:
            content = write.apply(content, Kept.COMPLETE)
        return content

    def sync(self) -> None:
        """Make the present content durable."""
        self.synced = self.content
        self.unsynced = []

    def power_failure_contents(self) -> Iterator[bytes]:
        """Each content that the file may have after a power failure."""
        for combination in itertools.product(Kept, repeat=len(self.unsynced)):
            content = self.synced
            for write, kept in zip(self.unsynced, combination, strict=True):
                content = write.apply(content, kept)
            yield content

    def random_power_failure_content(self, rng: random.Random) -> bytes:
        """A random one of the contents that the file may have after a power failure."""
        content = self.synced
        for write in self.unsynced:
            content = write.apply(content, rng.choice(tuple(Kept)))
        return content


ErrorFactory = Callable[[], Exception]


def disk_full_error() -> Exception:
    """The error of a write on a full disk."""
    return OSError(errno.ENOSPC, "no space left")


class MemoryFiles:
    """An in-memory file system with one folder for `Storage`, which may fail at any operation.

    Attributes:
        present: the files by their names, as a reader sees them.
        durable: the files by their names at the folder's last sync.
        operations: how many disk operations there were since the last `inject_failure`.
        fail_at: the operation, counted from 1, that fails; None for none.
        make_error: creates the exception that a failing operation raises.
        persistent: whether all operations after `fail_at` fail too.
        full: whether the disk is full, so that every write fails.
    """

    def __init__(self) -> None:
        """Create an empty folder."""
        self.present: dict[str, File] = {}
        self.durable: dict[str, File] = {}
        self.operations = 0
        self.fail_at: int | None = None
        self.make_error: ErrorFactory = ProcessCrashError
        self.persistent = False
        self.full = False
        self._databases = _databases_on(self)

    def inject_failure(self, at: int, make_error: ErrorFactory, *, persistent: bool) -> None:
        """Make the `at`-th operation from now fail, and all later ones too if `persistent`."""
        self.operations = 0
        self.fail_at = at
        self.make_error = make_error
        self.persistent = persistent

    def clear_failure(self) -> None:
        """End the injected failure."""
        self.fail_at = None

    # --- The `FileSystem` interface that `Storage` uses.

    def make_folder(self, folder: str) -> None:
        """Do nothing: the only folder always exists."""

    def names(self, folder: str) -> list[str]:
        """The names of all files."""
        return list(self.present)

    def remove(self, path: str | bytes) -> None:
        """Remove a name."""
        name = _name(path)
        if name not in self.present:
            raise FileNotFoundError(errno.ENOENT, name)
        self.begin_operation()
        del self.present[name]

    def sync(self, path: str) -> None:
        """Make a file's content durable, or all names if the path is the folder."""
        self.begin_operation()
        if path == FOLDER:
            self.durable = dict(self.present)
        else:
            self.present[_name(path)].sync()

    def database(self, base: str, flag: str) -> Database:
        """Open a database that is stored in this folder."""
        return self._databases(base, flag)

    # --- The functions of the modules `io` and `os` that `dbm.dumb` uses.

    unlink = remove
    fsencode = staticmethod(os.fsencode)

    def rename(self, old: str | bytes, new: str | bytes) -> None:
        """Rename a file."""
        if _name(old) not in self.present:
            raise FileNotFoundError(errno.ENOENT, _name(old))
        self.begin_operation()
        self.present[_name(new)] = self.present.pop(_name(old))

    def open(self, path: str | bytes, mode: str = "r", encoding: str | None = None) -> IO[Any]:
        """Open a file, with the interface of the builtin `open`."""
        name = _name(path)
        if name not in self.present:
            if mode[0] == "r":
                raise FileNotFoundError(errno.ENOENT, name)
            self.begin_operation()
            self.present[name] = File()
        file = self.present[name]
        if mode[0] == "w":
            self.begin_operation()
            file.unsynced.append(Write(0, b"", truncate=True))
        raw = _Handle(self, file, at_end=mode[0] == "a")
        buffered: Any = io.BufferedRandom(raw) if "+" in mode else _buffered(raw, mode)
        return buffered if "b" in mode else io.TextIOWrapper(buffered, encoding=encoding)

    # --- Fault injection.

    def begin_operation(self) -> None:
        """Count a disk operation, and raise the injected failure if it is due."""
        self.operations += 1
        if self.fail_at is None:
            return
        if self.operations == self.fail_at or (self.persistent and self.operations > self.fail_at):
            raise self.make_error()

    def write(self, file: File, offset: int, data: bytes) -> None:
        """Write in two operations, so that a crash or a full disk may interrupt between them."""
        if self.full:
            raise disk_full_error()
        self.begin_operation()
        half = len(data) // 2
        file.unsynced.append(Write(offset, data[:half]))
        self.begin_operation()
        file.unsynced[-1] = Write(offset, data)

    def power_failure_states(self) -> Iterator[dict[str, bytes]]:
        """Each state that the folder may have after a power failure, as contents by name."""
        names = sorted({*self.present, *self.durable})
        choices = [self._alternatives(name) for name in names]
        for files in itertools.product(*choices):
            distinct = [file for file in dict.fromkeys(files) if file is not None]
            alternatives = (file.power_failure_contents() for file in distinct)
            for contents in itertools.product(*alternatives):
                content_of = dict(zip(distinct, contents, strict=True))
                yield {
                    name: content_of[file]
                    for name, file in zip(names, files, strict=True)
                    if file is not None
                }

    def count_power_failure_states(self) -> int:
        """How many states `power_failure_states` yields, duplicates included."""
        names = {*self.present, *self.durable}
        count = 1
        for name in names:
            count *= len(self._alternatives(name))
        for file in {*self.present.values(), *self.durable.values()}:
            count *= len(Kept) ** len(file.unsynced)
        return count

    def lose_power(self, rng: random.Random) -> None:
        """Continue with a random one of the states that a power failure may leave."""
        self.restore(self.random_power_failure_state(rng))

    def random_power_failure_state(self, rng: random.Random) -> dict[str, bytes]:
        """A random one of the states that the folder may have after a power failure."""
        names = sorted({*self.present, *self.durable})
        files = {name: rng.choice(self._alternatives(name)) for name in names}
        contents = {
            file: file.random_power_failure_content(rng)
            for file in files.values()
            if file is not None
        }
        return {name: contents[file] for name, file in files.items() if file is not None}

    def restore(self, contents: dict[str, bytes]) -> None:
        """Replace the folder's content by these files, all synced."""
        self.present = {name: File(content) for name, content in contents.items()}
        self.durable = dict(self.present)

    def flip_random_bit(self, rng: random.Random) -> None:
        """Flip a random bit of a random file; no effect if all files are empty."""
        names = sorted(name for name, file in self.present.items() if file.content)
        if not names:
            return
        file = self.present[rng.choice(names)]
        content = bytearray(file.content)
        content[rng.randrange(len(content))] ^= 1 << rng.randrange(8)
        file.synced = bytes(content)
        file.unsynced = []

    def _alternatives(self, name: str) -> list[File | None]:
        present = self.present.get(name)
        durable = self.durable.get(name)
        return [present] if present is durable else [present, durable]


class _Handle(io.RawIOBase):
    """An open file."""

    def __init__(self, files: MemoryFiles, file: File, *, at_end: bool) -> None:
        """Open a file with the position at its start or its end."""
        super().__init__()
        self._files = files
        self._file = file
        self._position = len(file.content) if at_end else 0

    def readable(self) -> bool:
        """True for every file."""
        return True

    def writable(self) -> bool:
        """True for every file."""
        return True

    def seekable(self) -> bool:
        """True for every file."""
        return True

    def readinto(self, buffer: WriteableBuffer) -> int:
        """Read from the position."""
        target = memoryview(buffer).cast("B")
        data = self._file.content[self._position : self._position + len(target)]
        target[: len(data)] = data
        self._position += len(data)
        return len(data)

    def write(self, data: ReadableBuffer) -> int:
        """Write at the position."""
        written = bytes(data)
        self._files.write(self._file, self._position, written)
        self._position += len(written)
        return len(written)

    def seek(self, offset: int, whence: int = io.SEEK_SET) -> int:
        """Move the position."""
        start = {io.SEEK_SET: 0, io.SEEK_CUR: self._position, io.SEEK_END: len(self._file.content)}[
            whence
        ]
        self._position = start + offset
        return self._position

    def tell(self) -> int:
        """The position."""
        return self._position


def _buffered(raw: _Handle, mode: str) -> io.BufferedReader | io.BufferedWriter:
    return io.BufferedReader(raw) if mode[0] == "r" else io.BufferedWriter(raw)


def _name(path: str | bytes) -> str:
    return os.path.basename(os.fsdecode(path))


def _databases_on(files: MemoryFiles) -> Callable[[str, str], Database]:
    """Load a second copy of the module `dbm.dumb` that does its file access on `files`."""
    spec = importlib.util.find_spec(dbm.dumb.__name__)
    if spec is None or spec.loader is None:
        raise StandardLibraryError(dbm.dumb.__name__)
    module: Any = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module._io = module._os = files
    database_class = module._Database
    database_class._io = database_class._os = files
    database_class._chmod = lambda _self, _file: None

    def database(base: str, flag: str) -> Database:
        opened: Database = database_class(base, "", flag)
        return opened

    return database
