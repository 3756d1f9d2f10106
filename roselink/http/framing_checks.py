"""Whether it is beyond doubt where a request ends (RFC 9112, section 6)."""

from __future__ import annotations

from roselink.http.exceptions import BadRequestError

# Digits of a Content-Length, so that it stays below 2**64.
LENGTH_DIGITS_LIMIT = 20


def check_framing(version: str, headers: list[tuple[bytes, bytes]], body_limit: int) -> None:
    """Refuse a request unless it is beyond doubt where it ends.

    Guards against request smuggling, one request hidden in the body of another: a host that goes by
    the other of two headers would run it (RFC 9112, section 11.2). The parser has checks of its
    own, but what it is lenient about changes with its version.

    Args:
        version: of HTTP, as "1.1".
        headers: as they came, in their order.
        body_limit: the longest body that is taken, in bytes.

    Raises:
        BadRequestError: with the status to answer.
    """
    framing = [
        (n.lower().replace(b"_", b"-").strip(), n, v) for n, v in headers if n[:1] in b"cCtT"
    ]
    lengths = [(n, v) for normalized, n, v in framing if normalized == b"content-length"]
    codings = [(n, v) for normalized, n, v in framing if normalized == b"transfer-encoding"]
    if any(b"_" in name or name != name.strip() for name, _ in lengths + codings):
        raise BadRequestError(400, "a framing header spelt oddly")
    if len(lengths) + len(codings) > 1:
        raise BadRequestError(400, "two framing headers")
    if lengths and not (lengths[0][1].isdigit() and len(lengths[0][1]) < LENGTH_DIGITS_LIMIT):
        raise BadRequestError(400, "bad Content-Length")
    if codings and (codings[0][1].lower() != b"chunked" or version != "1.1"):
        raise BadRequestError(400, "unknown Transfer-Encoding")
    if version not in ("1.0", "1.1"):
        raise BadRequestError(400, "unknown version of HTTP")
    if lengths and int(lengths[0][1]) > body_limit:
        raise BadRequestError(413, "body too long")
