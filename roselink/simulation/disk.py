"""A folder in memory that knows what was synced, and what a loss of power may leave of the rest.

Each file has the bytes that its last sync covered and the writes since then; each name the file
that the folder's last sync covered. At a loss of power every later write is there, missing or torn
(cut short, or with zeros in its place), and every changed name is kept or lost, each independently
of all others.
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

if TYPE_CHECKING:
    import random

    from roselink.controller.storage import Database

FOLDER = "/disk"


class Kept(Enum):
    """What a loss of power leaves of one write."""

    WHOLE = "whole"
    MISSING = "missing"
    SHORT = "short"  # its first half
    EMPTY = "empty"  # its first half, and zeros in place of the other


@dataclass(frozen=True, slots=True)
class Write:
    """Bytes that were written at a place; `cut`: all behind that place was dropped first."""

    at: int
    data: bytes
    cut: bool = False

    def apply(self, content: bytes, kept: Kept) -> bytes:
        """The file's content after what is kept of this write."""
        if kept is Kept.MISSING:
            return content
        data = self.data if kept is Kept.WHOLE else self.data[: len(self.data) // 2]
        data = data.ljust(len(self.data), b"\0") if kept is Kept.EMPTY else data
        content = content[: self.at] if self.cut else content
        content = content.ljust(self.at, b"\0")
        return content[: self.at] + data + content[self.at + len(data) :]


@dataclass(slots=True, eq=False)
class File:
    """One file, whatever its name."""

    synced: bytes = b""
    unsynced: list[Write] = field(default_factory=list)

    @property
    def content(self) -> bytes:
        """What a reader sees now."""
        content = self.synced
        for write in self.unsynced:
            content = write.apply(content, Kept.WHOLE)
        return content

    def sync(self) -> None:
        """What is there now outlives a loss of power."""
        self.synced, self.unsynced = self.content, []

    def remains(self) -> Iterator[bytes]:
        """Each content that a loss of power may leave."""
        for kept in itertools.product(Kept, repeat=len(self.unsynced)):
            content = self.synced
            for write, part in zip(self.unsynced, kept, strict=True):
                content = write.apply(content, part)
            yield content

    def drawn(self, draw: random.Random) -> bytes:
        """One of them."""
        content = self.synced
        for write in self.unsynced:
            content = write.apply(content, draw.choice(tuple(Kept)))
        return content


class Broken(Exception):
    """The process has ended at this step."""


Failure = Callable[[], Exception]


def disk_full() -> Exception:
    """What a full disk answers."""
    return OSError(errno.ENOSPC, "no space left")


class MemoryFiles:
    """One folder as `Storage` needs it. `fail_at`: the step, counted from 1, at which `failure` is
    raised.
    """

    def __init__(self) -> None:
        self.present: dict[str, File] = {}
        self.durable: dict[str, File] = {}
        self.steps = 0
        self.fail_at: int | None = None
        self.failure: Failure = Broken
        self.fails_on = False  # also at every later step
        self.full = False
        self._databases = _databases_on(self)

    def fail(self, at: int, failure: Failure, on: bool) -> None:
        """Fail at a step from here, and at all later ones if `on`."""
        self.steps, self.fail_at, self.failure, self.fails_on = 0, at, failure, on

    def heal(self) -> None:
        """Fail no more."""
        self.fail_at = None

    # What `Storage` asks for.

    def make_folder(self, folder: str) -> None:
        """The one folder is there."""

    def names(self, folder: str) -> list[str]:
        """The names of all files."""
        return list(self.present)

    def remove(self, path: str | bytes) -> None:
        """Remove a name."""
        name = _name(path)
        if name not in self.present:
            raise FileNotFoundError(errno.ENOENT, name)
        self.step()
        del self.present[name]

    def sync(self, path: str) -> None:
        """Make a file's bytes, or all names, outlive a loss of power."""
        self.step()
        if path == FOLDER:
            self.durable = dict(self.present)
        else:
            self.present[_name(path)].sync()

    def database(self, base: str, flag: str) -> Database:
        """A database on these files."""
        return self._databases(base, flag)

    # What `dbm.dumb` asks of the modules `io` and `os`.

    unlink = remove
    fsencode = staticmethod(os.fsencode)

    def rename(self, old: str | bytes, new: str | bytes) -> None:
        """Give a file another name."""
        if _name(old) not in self.present:
            raise FileNotFoundError(errno.ENOENT, _name(old))
        self.step()
        self.present[_name(new)] = self.present.pop(_name(old))

    def open(self, path: str | bytes, mode: str = "r", encoding: str | None = None) -> IO[Any]:
        """Open a file as the builtin does."""
        name = _name(path)
        if name not in self.present:
            if mode[0] == "r":
                raise FileNotFoundError(errno.ENOENT, name)
            self.step()
            self.present[name] = File()
        file = self.present[name]
        if mode[0] == "w":
            self.step()
            file.unsynced.append(Write(0, b"", cut=True))
        raw = _Handle(self, file, at_end=mode[0] == "a")
        buffered: Any = io.BufferedRandom(raw) if "+" in mode else _buffered(raw, mode)
        return buffered if "b" in mode else io.TextIOWrapper(buffered, encoding=encoding)

    # Troubles.

    def step(self) -> None:
        """One operation on the disk begins."""
        self.steps += 1
        if self.fail_at is None:
            return
        if self.steps == self.fail_at or (self.fails_on and self.steps > self.fail_at):
            raise self.failure()

    def write(self, file: File, at: int, data: bytes) -> None:
        """Write, in two steps: a process may end, or a disk fill up, half way."""
        if self.full:
            raise disk_full()
        self.step()
        half = len(data) // 2
        file.unsynced.append(Write(at, data[:half]))
        self.step()
        file.unsynced[-1] = Write(at, data)

    def remains(self) -> Iterator[dict[str, bytes]]:
        """Each state of the folder that a loss of power may leave."""
        names = sorted({*self.present, *self.durable})
        choices = [self._kept(name) for name in names]
        for files in itertools.product(*choices):
            whole = [file for file in dict.fromkeys(files) if file is not None]
            for contents in itertools.product(*(file.remains() for file in whole)):
                held = dict(zip(whole, contents, strict=True))
                yield {
                    name: held[file]
                    for name, file in zip(names, files, strict=True)
                    if file is not None
                }

    def count_remains(self) -> int:
        """How many those are, those that look alike counted apart."""
        names = {*self.present, *self.durable}
        count = 1
        for name in names:
            count *= len(self._kept(name))
        for file in {*self.present.values(), *self.durable.values()}:
            count *= len(Kept) ** len(file.unsynced)
        return count

    def lose_power(self, draw: random.Random) -> None:
        """Come back with one of them."""
        self.hold(self.drawn(draw))

    def drawn(self, draw: random.Random) -> dict[str, bytes]:
        """One of the states that a loss of power may leave."""
        names = sorted({*self.present, *self.durable})
        files = {name: draw.choice(self._kept(name)) for name in names}
        contents = {file: file.drawn(draw) for file in files.values() if file is not None}
        return {name: contents[file] for name, file in files.items() if file is not None}

    def hold(self, contents: dict[str, bytes]) -> None:
        """Be a folder with these files, all synced."""
        self.present = {name: File(content) for name, content in contents.items()}
        self.durable = dict(self.present)

    def _kept(self, name: str) -> list[File | None]:
        now, then = self.present.get(name), self.durable.get(name)
        return [now] if now is then else [now, then]


class _Handle(io.RawIOBase):
    """An open file."""

    def __init__(self, files: MemoryFiles, file: File, at_end: bool) -> None:
        super().__init__()
        self._files, self._file = files, file
        self._at = len(file.content) if at_end else 0

    def readable(self) -> bool:
        """Yes."""
        return True

    def writable(self) -> bool:
        """Yes."""
        return True

    def seekable(self) -> bool:
        """Yes."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read from the place on."""
        data = self._file.content[self._at : self._at + len(buffer)]
        buffer[: len(data)] = data
        self._at += len(data)
        return len(data)

    def write(self, data: Any) -> int:
        """Write at the place."""
        written = bytes(data)
        self._files.write(self._file, self._at, written)
        self._at += len(written)
        return len(written)

    def seek(self, offset: int, whence: int = io.SEEK_SET) -> int:
        """Move the place."""
        start = {io.SEEK_SET: 0, io.SEEK_CUR: self._at, io.SEEK_END: len(self._file.content)}[
            whence
        ]
        self._at = start + offset
        return self._at

    def tell(self) -> int:
        """The place."""
        return self._at


def _buffered(raw: _Handle, mode: str) -> io.BufferedReader | io.BufferedWriter:
    return io.BufferedReader(raw) if mode[0] == "r" else io.BufferedWriter(raw)


def _name(path: str | bytes) -> str:
    return os.path.basename(os.fsdecode(path))


def _databases_on(files: MemoryFiles) -> Callable[[str, str], Database]:
    """`dbm.dumb` itself, in a module object of its own whose files are these."""
    spec = importlib.util.find_spec(dbm.dumb.__name__)
    if spec is None or spec.loader is None:
        raise AssertionError("dbm.dumb is a module of the standard library")
    module: Any = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module._io = module._os = files
    kind = module._Database
    kind._io = kind._os = files
    kind._chmod = lambda self, file: None

    def database(base: str, flag: str) -> Database:
        opened: Database = kind(base, "", flag)
        return opened

    return database
