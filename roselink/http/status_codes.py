"""Status codes and their reason phrases (RFC 9110, section 15)."""

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

OK = 200
UNAUTHORIZED = 401
MISDIRECTED_REQUEST = 421
INTERNAL_SERVER_ERROR = 500
_INTERIM = range(100, 200)
_SUCCESSFUL = range(200, 300)


def is_interim(status: int) -> bool:
    """Whether the status is interim (1xx): another response to the same request follows."""
    return status in _INTERIM


def is_success(status: int) -> bool:
    """Whether the status is successful (2xx)."""
    return status in _SUCCESSFUL
