"""Whether it is beyond doubt where a request ends (RFC 9112, section 6)."""

from __future__ import annotations


class Bad(Exception):
    """What came is no request; `status` says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def check_framing(version: str, headers: list[tuple[bytes, bytes]], body_limit: int) -> None:
    """Raise `Bad` unless it is beyond doubt where the request ends. Guards against one hidden in
    the body of another: a host that goes by the other of two headers would run it. The parser has
    checks of its own, but what it is lenient about changes with its version.
    """
    framing = [
        (n.lower().replace(b"_", b"-").strip(), n, v) for n, v in headers if n[:1] in b"cCtT"
    ]
    lengths = [(n, v) for plain, n, v in framing if plain == b"content-length"]
    codings = [(n, v) for plain, n, v in framing if plain == b"transfer-encoding"]
    if any(b"_" in name or name != name.strip() for name, _ in lengths + codings):
        raise Bad(400, "a framing header spelt oddly")
    if len(lengths) + len(codings) > 1:
        raise Bad(400, "two framing headers")
    if lengths and not (lengths[0][1].isdigit() and len(lengths[0][1]) < 20):
        raise Bad(400, "bad Content-Length")
    if codings and (codings[0][1].lower() != b"chunked" or version != "1.1"):
        raise Bad(400, "unknown Transfer-Encoding")
    if version not in ("1.0", "1.1"):
        raise Bad(400, "unknown version of HTTP")
    if lengths and int(lengths[0][1]) > body_limit:
        raise Bad(413, "body too long")
