"""One guard of the code, and the edit that removes it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent


class GuardNotFoundError(ValueError):
    """A guard's text does not stand exactly once in its file.

    Attributes:
        mutation: the mutation that can't be applied.
        count: how often the guard's text stands in the file.
    """

    def __init__(self, mutation: Mutation, count: int) -> None:
        """Note which mutation can't be applied, and how often its guard was found."""
        super().__init__(f"{mutation.name}: its guard stands {count} times in {mutation.file}")
        self.mutation = mutation
        self.count = count


@dataclass(frozen=True, slots=True)
class Mutation:
    """A guard of the code, and the edit that removes it.

    Attributes:
        name: what goes wrong without the guard.
        file: the file that has the guard, below `roselink`.
        guard: the guard's text, which stands once in the file.
        replacement: the text that takes the guard's place.
        tests: files and folders of tests, at least one of which fails without the guard.
    """

    name: str
    file: str
    guard: str
    replacement: str
    tests: tuple[str, ...]

    def apply(self, tree: Path) -> None:
        """Remove the guard from a copy of the tree.

        Raises:
            GuardNotFoundError: the guard's text does not stand exactly once in its file.
        """
        path = tree / "roselink" / self.file
        text = path.read_text(encoding="utf-8")
        count = text.count(self.guard)
        if count != 1:
            raise GuardNotFoundError(self, count)
        path.write_text(text.replace(self.guard, self.replacement), encoding="utf-8")


def mutations_of(file: str, tests: tuple[str, ...], *edits: tuple[str, str, str]) -> list[Mutation]:
    """The mutations of one file, whose edits are (name, guard, instead)."""
    return [Mutation(name, file, guard, replacement, tests) for name, guard, replacement in edits]
