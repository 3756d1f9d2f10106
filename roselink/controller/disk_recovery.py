"""A way back for a core that can't agree on a view any more: offline, from the disks that are left.

A core stops for good when no majority of its newest view's voters is left, or none of that view's
intact members (V5 in `coordination.views`). The disks that are left then may lack what was
acknowledged, and only a person can know which machines will not come back. So nothing here is
decided without a name: a recovery needs the disk of each machine that may vote, or have a newer
state, or the word that this very machine is lost.

What is made is the disk of one machine, in a view of an epoch that none had, with that machine as
its only voter. It starts as any member does that comes back alone, and all others join it with
empty disks. Two things fence the former core: the disks that were given are moved aside, so that
nobody starts with them, and the new state's sequence is beyond any that gateways may have, so that
they follow it.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from roselink.controller.disk_inspection import DiskContents, document_digest, format_voter
from roselink.controller.storage import LocalFiles, Storage, record_number
from roselink.coordination.effects import Store
from roselink.coordination.views import majority, replica_of
from roselink.protocol.chain import AcceptorState, ChainReplica, StoredState, View, Voter
from roselink.protocol.records import encode

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

# Writes that the lost members may have acknowledged and gateways may have taken: the recovered
# state's sequence goes beyond them.
SEQUENCE_GAP = 1_000_000
# Views that the lost members may have agreed on: the recovered view's epoch goes beyond them.
EPOCH_GAP = 1_000
# No process has this session, so the first process that starts here proposes a view of its own.
UNUSED_SESSION = 1
FENCED_FOLDER = "before-recovery"


@dataclass(frozen=True, slots=True)
class RecoveryRefused:
    """Why no recovery is made.

    Attributes:
        reasons: one line each, with the names of the machines that are concerned.
    """

    reasons: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecoveryPlan:
    """The two records of the new disk.

    Attributes:
        source_folder: the folder whose state is taken.
        source_state: that state as it was found.
        acceptor: the new acceptor state.
        state: the new state.
        may_lack: the machines whose newer acknowledged state this one may lack.
    """

    source_folder: str
    source_state: StoredState
    acceptor: AcceptorState
    state: StoredState
    may_lack: tuple[str, ...]


def plan_recovery(
    disks: Sequence[DiskContents],
    address: str,
    incarnation: int,
    lost: frozenset[str],
    *,
    has_every_disk: bool,
) -> RecoveryPlan | RecoveryRefused:
    """Plan the disk with which a core begins anew.

    Args:
        disks: the disks of all machines that are left.
        address: the peer address of the machine that starts first.
        incarnation: a new random number above 0.
        lost: voters, as `format_voter` prints them, whose disks will never come back.
        has_every_disk: the operator's word that no machine that ever ran, but for the lost ones,
            is missing among the disks; needed where a view that none of them knows is possible.
    """
    usable = [disk for disk in disks if disk.is_usable]
    views = _newest_views(usable)
    if not views:
        return RecoveryRefused(("no disk has both records and a view: nothing to begin with",))
    given = {disk.acceptor.voter for disk in usable if disk.acceptor is not None}
    reasons = [
        *_explain_unusable_disks(disks),
        *_explain_contradictions(given, lost),
        *_explain_missing_voters(views, given, lost),
    ]
    if not reasons and _can_start_without_recovery(usable, given):
        reasons.append(
            "not needed: a majority of the newest view and an intact member are here; start them"
        )
    if not reasons and not has_every_disk and not all(_has_majority(v, given) for v in views):
        reasons.append(
            f"without a majority of epoch {views[0].epoch} a later view is possible that no disk"
            " here knows: find the disk of every machine that ever ran, and say so"
            " (--has-every-disk)"
        )
    if reasons:
        return RecoveryRefused(tuple(reasons))
    return _make_plan(usable, views[0], given, Voter(address, incarnation))


def describe_plan(plan: RecoveryPlan, folder: str) -> list[str]:
    """A plan, as lines for a person."""
    source_state = plan.source_state
    lines = [
        f"takes      the state of {plan.source_folder}: epoch {source_state.epoch},"
        f" sequence {source_state.state.sequence}, generation {source_state.state.generation},"
        f" sha256 {document_digest(source_state)}",
        f"makes      {folder}: {format_voter(plan.acceptor.voter)} as the only voter,"
        f" epoch {plan.state.epoch}, sequence {plan.state.state.sequence}",
    ]
    if plan.may_lack:
        lines.append(f"may lack   what was acknowledged by {', '.join(plan.may_lack)}")
    return lines


def execute_plan(plan: RecoveryPlan, disks: Sequence[DiskContents], folder: str) -> None:
    """Move the given disks' records aside, then write the new disk.

    Args:
        plan: the plan made from these disks.
        disks: the disks of all machines that are left.
        folder: the new disk's folder; it may be one of theirs.

    Raises:
        OSError: a disk failed; what was moved is in `before-recovery` beside it, and a new plan
            can be made from there.
    """
    for disk in disks:
        _move_aside(disk.folder)
    storage = Storage(folder)
    storage.load()
    storage.save(Store.ACCEPTOR, record_number(Store.ACCEPTOR), encode(plan.acceptor))
    storage.save(Store.STATE, record_number(Store.STATE), encode(plan.state))


def _newest_views(usable: Sequence[DiskContents]) -> list[View]:
    """The newest known view, and the one before if a disk knows it; the newest first.

    One that was accepted counts: it may have been decided. If it was not, the one before holds.
    """
    acceptors = [disk.acceptor for disk in usable if disk.acceptor is not None]
    known = [
        view
        for acceptor in acceptors
        for view in (acceptor.proposal, acceptor.view)
        if view is not None
    ]
    epochs = sorted({view.epoch for view in known}, reverse=True)
    return [
        view for epoch in epochs if epoch >= epochs[0] - 1 for view in _distinct_views(known, epoch)
    ]


def _distinct_views(views: Sequence[View], epoch: int) -> list[View]:
    """The different views of an epoch: several while it is not decided."""
    return list(dict.fromkeys(view for view in views if view.epoch == epoch))


def _explain_unusable_disks(disks: Iterable[DiskContents]) -> list[str]:
    return [
        f"{disk.folder}: not both of its records are intact; leave it out, and name it as lost"
        for disk in disks
        if not disk.is_usable
    ]


def _explain_contradictions(given: Iterable[Voter], lost: frozenset[str]) -> list[str]:
    return [
        f"{format_voter(voter)}: named as lost, but its disk is given"
        for voter in given
        if format_voter(voter) in lost
    ]


def _explain_missing_voters(
    views: Iterable[View], given: set[Voter], lost: frozenset[str]
) -> list[str]:
    """Why voters that are neither given nor named as lost have to be one of them."""
    missing = [
        (voter, view)
        for view in views
        for voter in view.voters
        if voter not in given and format_voter(voter) not in lost
    ]
    reasons = {}
    for voter, view in reversed(missing):
        is_replica = replica_of(view, voter) is not None
        risk = "may have a newer acknowledged state" if is_replica else "may vote"
        reasons[voter] = (
            f"{format_voter(voter)}: {risk} (epoch {view.epoch}); give its disk, or name it as lost"
            f" (--lost {format_voter(voter)})"
        )
    return [reasons[voter] for voter in sorted(reasons, key=format_voter)]


def _has_majority(view: View, given: set[Voter]) -> bool:
    return sum(voter in given for voter in view.voters) >= majority(view)


def _can_start_without_recovery(usable: Sequence[DiskContents], given: set[Voter]) -> bool:
    """Whether the given machines agree on a next view without help."""
    decided = [disk.acceptor.view for disk in usable if disk.acceptor and disk.acceptor.view]
    if not decided:
        return False
    newest = max(decided, key=lambda view: view.epoch)
    return _has_majority(newest, given) and any(_is_intact(newest, disk) for disk in usable)


def _is_intact(view: View, disk: DiskContents) -> bool:
    """Whether the disk has all that was acknowledged up to this view (V1)."""
    if disk.acceptor is None or disk.state is None:
        return False
    replica = replica_of(view, disk.acceptor.voter)
    return replica is not None and disk.state.epoch >= replica.since


def _make_plan(
    usable: Sequence[DiskContents], newest: View, given: set[Voter], voter: Voter
) -> RecoveryPlan:
    source, source_state = max(
        ((disk, disk.state) for disk in usable if disk.state is not None),
        key=lambda pair: (_is_intact(newest, pair[0]), pair[1].epoch, pair[1].state.sequence),
    )
    epoch = max(newest.epoch, source_state.epoch) + EPOCH_GAP
    view = View(epoch, (voter,), (ChainReplica(voter, epoch, UNUSED_SESSION),))
    sequence = source_state.state.sequence + SEQUENCE_GAP
    may_lack: tuple[str, ...] = ()
    if not _is_intact(newest, source):
        may_lack = tuple(
            format_voter(link.voter) for link in newest.chain if link.voter not in given
        )
    return RecoveryPlan(
        source_folder=source.folder,
        source_state=source_state,
        acceptor=AcceptorState(voter, view, None, None, None),
        state=StoredState(epoch, replace(source_state.state, sequence=sequence)),
        may_lack=may_lack,
    )


def _move_aside(folder: str) -> None:
    """Move a disk's records into a folder of their own, from which no member starts."""
    fenced_folder = os.path.join(folder, FENCED_FOLDER)
    os.makedirs(fenced_folder, exist_ok=True)
    for name in os.listdir(folder):
        path = os.path.join(folder, name)
        if os.path.isfile(path):
            os.replace(path, os.path.join(fenced_folder, name))
    files = LocalFiles()
    for synced in (fenced_folder, folder):
        files.sync(synced)
