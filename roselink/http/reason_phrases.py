"""Reason phrases of the statuses that are sent here (RFC 9110, section 15)."""

REASON_PHRASES = {
    200: b"OK",
    201: b"Created",
    202: b"Accepted",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
