"""The base of all exceptions that roselink raises on purpose."""

from __future__ import annotations


class RoselinkError(Exception):
    """Base class: each package derives one base of its own from it, and its errors from that."""
