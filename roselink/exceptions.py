"""The base of all exceptions that roselink raises on purpose."""

from __future__ import annotations

from typing import ClassVar


class RoselinkError(Exception):
    """Base class: each package derives one base of its own from it, and its errors from that.

    Attributes:
        code: the class's code, which stays when names and texts change; listed in
            `docs/operations.md`. The letters name the package.
    """

    code: ClassVar[str] = "RSL-000"


def code_of(error: BaseException | None) -> str | None:
    """The code of an error; None for an exception that roselink does not define."""
    return error.code if isinstance(error, RoselinkError) else None
