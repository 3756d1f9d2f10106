"""A guard of the code, and the edit that removes it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent


class GuardNotFoundError(ValueError):
    """A guard's text does not occur exactly once in its file.

    Attributes:
        mutation: mutation that can't be applied.
        count: number of occurrences of the guard's text in the file.
    """

    def __init__(self, mutation: Mutation, count: int) -> None:
        """Store the mutation and the number of occurrences of its guard."""
        super().__init__(f"{mutation.name}: its guard occurs {count} times in {mutation.file}")
        self.mutation = mutation
        self.count = count


@dataclass(frozen=True, slots=True)
class Mutation:
    """A guard of the code, and the edit that removes it.

    Attributes:
        name: failure that the guard prevents.
        file: path of the file with the guard, relative to `roselink`.
        guard: text of the guard, which occurs once in the file.
        replacement: text that replaces the guard.
        tests: test files and directories, in at least one of which a test fails without the guard.
    """

    name: str
    file: str
    guard: str
    replacement: str
    tests: tuple[str, ...]

    def apply(self, tree: Path) -> None:
        """Remove the guard in a copy of the tree.

        Raises:
            GuardNotFoundError: the guard's text does not occur exactly once in its file.
        """
        path = tree / "roselink" / self.file
        text = path.read_text(encoding="utf-8")
        count = text.count(self.guard)
        if count != 1:
            raise GuardNotFoundError(self, count)
        path.write_text(text.replace(self.guard, self.replacement), encoding="utf-8")


def mutations_of(file: str, tests: tuple[str, ...], *edits: tuple[str, str, str]) -> list[Mutation]:
    """Return the mutations of one file from edits of the form (name, guard, replacement)."""
    return [Mutation(name, file, guard, replacement, tests) for name, guard, replacement in edits]
