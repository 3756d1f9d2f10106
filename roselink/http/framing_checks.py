"""Check of a request's message framing (RFC 9112, section 6)."""

from __future__ import annotations

from roselink.http.exceptions import BadRequestError

# Number of digits from which a Content-Length is rejected, so that it stays below 2**64.
LENGTH_DIGITS_LIMIT = 20


def check_framing(version: str, headers: list[tuple[bytes, bytes]], body_limit: int) -> None:
    """Reject a request whose framing is ambiguous.

    Guards against request smuggling, where a request is hidden in the body of another: a host that
    uses the other of two framing headers would run it (RFC 9112, section 11.2). The parser checks
    too, but how lenient it is changes with its version.

    Args:
        version: HTTP version, such as "1.1".
        headers: header names and values as received, in order.
        body_limit: the largest body that is accepted, in bytes.

    Raises:
        BadRequestError: the framing is invalid; holds the status to respond with.
    """
    framing = [
        (n.lower().replace(b"_", b"-").strip(), n, v) for n, v in headers if n[:1] in b"cCtT"
    ]
    lengths = [(n, v) for normalized, n, v in framing if normalized == b"content-length"]
    codings = [(n, v) for normalized, n, v in framing if normalized == b"transfer-encoding"]
    if any(b"_" in name or name != name.strip() for name, _ in lengths + codings):
        raise BadRequestError(400, "malformed name of a framing header")
    if len(lengths) + len(codings) > 1:
        raise BadRequestError(400, "more than one framing header")
    if lengths and not (lengths[0][1].isdigit() and len(lengths[0][1]) < LENGTH_DIGITS_LIMIT):
        raise BadRequestError(400, "invalid Content-Length")
    if codings and (codings[0][1].lower() != b"chunked" or version != "1.1"):
        raise BadRequestError(400, "unsupported Transfer-Encoding")
    if version not in ("1.0", "1.1"):
        raise BadRequestError(400, "unsupported HTTP version")
    if lengths and int(lengths[0][1]) > body_limit:
        raise BadRequestError(413, "body too long")
