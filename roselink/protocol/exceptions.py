"""Errors of the internal protocol: registration of records, their encoding, and framing."""

from __future__ import annotations

from roselink.exceptions import RoselinkError


class ProtocolError(RoselinkError):
    """Base class of this package's errors."""

    code = "PRT-000"


class RecordNumberTakenError(ProtocolError, ValueError):
    """Two classes were registered under the same record number."""

    code = "PRT-001"

    def __init__(self, number: int, registered: str) -> None:
        """`registered` is the name of the class that is registered under the number."""
        super().__init__(f"record number {number} is taken by {registered}")
        self.number = number
        self.registered = registered


class UnsupportedFieldTypeError(ProtocolError, TypeError):
    """A field is annotated with a type for which there is no codec."""

    code = "PRT-002"

    def __init__(self, field_type: object, supported: str) -> None:
        """`supported` describes the types that are allowed instead."""
        super().__init__(f"unsupported field type {field_type!r}: {supported}")
        self.field_type = field_type
        self.supported = supported


class RecordError(ProtocolError, ValueError):
    """The bytes are not a valid record of the expected class."""

    code = "PRT-003"


class UnknownRecordError(RecordError):
    """No class is registered under the number."""

    code = "PRT-004"

    def __init__(self, number: int) -> None:
        """`number` is the record number that was received with the bytes."""
        super().__init__(f"unknown record {number}")
        self.number = number


class MalformedRecordError(RecordError):
    """The bytes can't be decoded as a record of this class."""

    code = "PRT-005"

    def __init__(self, record: str, reason: str) -> None:
        """`record` is the name of the class."""
        super().__init__(f"{record}: {reason}")
        self.record = record
        self.reason = reason


class TruncatedFieldError(RecordError):
    """A field's announced length exceeds the bytes that remain in its record."""

    code = "PRT-006"

    def __init__(self, size: int, available: int) -> None:
        """`size` is the announced length, `available` the number of remaining bytes."""
        super().__init__("field is longer than the rest of the record")
        self.size = size
        self.available = available


class TooManyItemsError(RecordError):
    """A tuple announces more items than `records.MAX_ITEMS`."""

    code = "PRT-007"

    def __init__(self, count: int) -> None:
        """`count` is the announced number of items."""
        super().__init__("tuple has too many items")
        self.count = count


class FrameError(ProtocolError, ValueError):
    """The stream has no valid frame at this position."""

    code = "PRT-008"

    def __init__(self, reason: str) -> None:
        """`reason` is the text that is logged."""
        super().__init__(reason)
        self.reason = reason
