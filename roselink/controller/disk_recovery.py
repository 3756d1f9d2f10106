"""Offline recovery of a core that can no longer agree on a view, from the remaining disks.

A core stops for good when no majority of its newest view's voters is left, or none of that view's
intact members (V5 in `coordination.views`). The remaining disks may lack acknowledged changes, and
only an operator can know which machines will not come back. A recovery therefore needs, for each
machine that may vote or may have a newer state, either its disk or the operator's statement that
this machine is lost.

The result is the disk of one machine, with a view of an unused epoch in which that machine is the
only voter. It starts like any member that restarts alone, and all others join it with empty disks.
Two things fence the former core: the given disks' records are moved aside, so that no member
starts from them, and the new state's sequence is above any that gateways may have, so that they
accept it.
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

# Added to the state's sequence: more than the changes that lost members may have acknowledged, and
# gateways applied, after the recovered state.
SEQUENCE_GAP = 1_000_000
# Added to the newest known epoch: more than the views that lost members may have agreed on since.
EPOCH_GAP = 1_000
# No process has this session, so the first process started on the new disk proposes its own view.
UNUSED_SESSION = 1
FENCED_FOLDER = "before-recovery"


@dataclass(frozen=True, slots=True)
class RecoveryRefused:
    """The reasons against a recovery.

    Attributes:
        reasons: one line each, with the machines concerned.
    """

    reasons: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecoveryPlan:
    """The two records of the new disk.

    Attributes:
        source_folder: the folder whose state is recovered.
        source_state: that state as it is on the disk.
        acceptor: the new acceptor state.
        state: the new state.
        may_lack: the machines that may have acknowledged changes which this state lacks.
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
    """Plan the disk from which a core is restarted.

    Args:
        disks: the disks of all remaining machines.
        address: the peer address of the machine that starts first.
        incarnation: a new random number above 0.
        lost: voters, as `format_voter` prints them, whose disks will never come back.
        has_every_disk: the operator's statement that the disks of all machines that ever ran are
            given, except the lost ones; needed where a view that no given disk knows is possible.
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
    """Format a plan as lines of text for an operator."""
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
        disks: the disks of all remaining machines.
        folder: the new disk's folder; it may be the folder of one of these disks.

    Raises:
        OSError: a disk failed; the records moved so far are in the `before-recovery` folder of
            each disk, and a new plan can be made from there.
    """
    for disk in disks:
        _move_aside(disk.folder)
    storage = Storage(folder)
    storage.load()
    storage.save(Store.ACCEPTOR, record_number(Store.ACCEPTOR), encode(plan.acceptor))
    storage.save(Store.STATE, record_number(Store.STATE), encode(plan.state))


def _newest_views(usable: Sequence[DiskContents]) -> list[View]:
    """The views of the newest known epoch and of the epoch before it, newest first.

    A view that was only accepted counts, as it may have been decided; if it was not, the view
    before it is still in force.
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
    """The distinct views of an epoch; there can be several while none is decided."""
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
    """Explain why each voter whose disk is not given has to be given or named as lost."""
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
    """Whether the given machines can agree on the next view without a recovery."""
    decided = [disk.acceptor.view for disk in usable if disk.acceptor and disk.acceptor.view]
    if not decided:
        return False
    newest = max(decided, key=lambda view: view.epoch)
    return _has_majority(newest, given) and any(_is_intact(newest, disk) for disk in usable)


def _is_intact(view: View, disk: DiskContents) -> bool:
    """Whether the disk has every change acknowledged up to this view (V1)."""
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
            format_voter(replica.voter) for replica in newest.chain if replica.voter not in given
        )
    return RecoveryPlan(
        source_folder=source.folder,
        source_state=source_state,
        acceptor=AcceptorState(voter, view, None, None, None),
        state=StoredState(epoch, replace(source_state.state, sequence=sequence)),
        may_lack=may_lack,
    )


def _move_aside(folder: str) -> None:
    """Move a disk's records into a subfolder, from which no member starts."""
    fenced_folder = os.path.join(folder, FENCED_FOLDER)
    os.makedirs(fenced_folder, exist_ok=True)
    for name in os.listdir(folder):
        path = os.path.join(folder, name)
        if os.path.isfile(path):
            os.replace(path, os.path.join(fenced_folder, name))
    files = LocalFiles()
    for synced in (fenced_folder, folder):
        files.sync(synced)
