"""Reads a core member's disk without starting the member, for `roselink disk`."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from roselink.controller.storage import Storage, StoredGeneration
from roselink.coordination.effects import Store
from roselink.coordination.state import EMPTY, history_length
from roselink.protocol.chain import AcceptorState, StoredState

if TYPE_CHECKING:
    from roselink.protocol.chain import View, Voter


@dataclass(frozen=True, slots=True)
class DiskContents:
    """The records on one disk.

    Attributes:
        folder: the folder.
        generations: every generation of both records, intact or not, oldest first.
    """

    folder: str
    generations: tuple[StoredGeneration, ...]

    @property
    def acceptor(self) -> AcceptorState | None:
        """The newest intact acceptor state."""
        found = self._newest_record(Store.ACCEPTOR)
        return found if isinstance(found, AcceptorState) else None

    @property
    def state(self) -> StoredState | None:
        """The newest intact state of the chain."""
        found = self._newest_record(Store.STATE)
        return found if isinstance(found, StoredState) else None

    @property
    def is_usable(self) -> bool:
        """Whether a member can start from these records, rather than as one with an empty disk."""
        return self.acceptor is not None and self.state is not None

    def _newest_record(self, store: Store) -> AcceptorState | StoredState | None:
        records = [each.record for each in self.generations if each.store is store]
        return next((record for record in reversed(records) if record is not None), None)


def read_disk(folder: str) -> DiskContents:
    """Read all records in a folder; nothing is changed.

    Raises:
        OSError: the folder or a file in it can't be read.
    """
    return DiskContents(folder, tuple(Storage(folder).generations()))


def describe(contents: DiskContents) -> list[str]:
    """Format the contents of a disk as lines of text for an operator."""
    lines = [f"folder     {contents.folder}"]
    lines += [f"record     {_format_generation(each)}" for each in contents.generations]
    if contents.acceptor is not None:
        lines += _format_acceptor(contents.acceptor)
    if contents.state is not None:
        lines += _format_state(contents.state)
    if not contents.is_usable:
        lines.append("unusable   a member that starts here begins as one with an empty disk")
    return lines


def document_digest(stored: StoredState) -> str:
    """The SHA-256 of a state's document, in hex."""
    return hashlib.sha256(stored.state.document).hexdigest()


def format_voter(voter: Voter) -> str:
    """Format a voter as its address, followed by `#` and its incarnation unless that is 0."""
    return voter.address if not voter.incarnation else f"{voter.address}#{voter.incarnation}"


def _format_generation(stored: StoredGeneration) -> str:
    condition = "intact" if stored.record is not None else "BAD: torn, or its checksum is wrong"
    return f"{stored.store.value} generation {stored.generation}: {condition}"


def _format_acceptor(acceptor: AcceptorState) -> list[str]:
    lines = [f"identity   {format_voter(acceptor.voter)}"]
    lines.append(
        "view       none" if acceptor.view is None else _format_view("view", acceptor.view)
    )
    if acceptor.promised is not None:
        ballot = acceptor.promised
        lines.append(f"promised   round {ballot.round} of {ballot.address}")
    if acceptor.proposal is not None:
        lines.append(_format_view("accepted", acceptor.proposal))
    return lines


def _format_view(title: str, view: View) -> str:
    chain = " -> ".join(
        f"{format_voter(replica.voter)} (since {replica.since})" for replica in view.chain
    )
    voters = ", ".join(format_voter(voter) for voter in view.voters)
    return f"{title:<11}{view.epoch}: chain {chain}; voters {voters}"


def _format_state(stored: StoredState) -> list[str]:
    state = stored.state
    lines = [f"state      epoch {stored.epoch}, sequence {state.sequence}"]
    if state == EMPTY:
        return [*lines, "document   none yet"]
    size = len(state.document)
    return [
        *lines,
        f"document   generation {state.generation}, {size} bytes, sha256 {document_digest(stored)}",
        f"history    {history_length(state)} changes",
    ]
