"""Where a socket listens or connects to."""

from __future__ import annotations

Address = tuple[str, int]
