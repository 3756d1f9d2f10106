"""Inspection of stopped members' disks, and recovery of a core from them."""

from __future__ import annotations

import asyncio
import shutil
from typing import TYPE_CHECKING

import pytest

from roselink.__main__ import main
from roselink.cli import EXIT_FAULTS, EXIT_UNAVAILABLE
from roselink.controller.disk_inspection import DiskContents, read_disk
from roselink.controller.disk_recovery import (
    EPOCH_GAP,
    FENCED_FOLDER,
    SEQUENCE_GAP,
    RecoveryPlan,
    RecoveryRefused,
    plan_recovery,
)
from roselink.controller.storage import Storage, StoredGeneration, record_number
from roselink.coordination.effects import ChangeCommitted, Confirmation, Store
from roselink.coordination.state import EMPTY, apply_change, digest_of
from roselink.protocol.chain import (
    AcceptorState,
    Ballot,
    ChainReplica,
    ConfigurationChange,
    StoredState,
    View,
    Voter,
)
from roselink.protocol.records import encode
from tests.controller.test_chain_driver import (
    HOSTS,
    MemberProcess,
    change_on,
    free_port,
    submit_until_decided,
)

if TYPE_CHECKING:
    from pathlib import Path

A, B, C, D = (Voter(name, 0) for name in "abcd")
CHANGE = ConfigurationChange(0, 1, b"one", digest_of(0, b"one"))
ONE = apply_change(EMPTY, CHANGE, refused=False)


def view(epoch: int, voters: str, **since: int) -> View:
    chain = tuple(ChainReplica(Voter(name, 0), first, 7) for name, first in since.items())
    return View(epoch, tuple(Voter(name, 0) for name in voters), chain)


# In epoch 6, c replaced b, and had not yet taken over the state when a's disk was lost.
VIEW_6 = view(6, "abc", a=1, c=6)
VIEW_7 = view(7, "abc", a=1, b=7)


def disk(
    voter: Voter, known: View | None, state_epoch: int = 5, proposal: View | None = None
) -> DiskContents:
    """A disk with both records, intact."""
    ballot = None if proposal is None else Ballot(1, "a", 7)
    acceptor = AcceptorState(voter, known, ballot, ballot, proposal)
    return DiskContents(
        f"disk-{voter.address}",
        (
            StoredGeneration(Store.ACCEPTOR, 4, acceptor),
            StoredGeneration(Store.STATE, 3, StoredState(state_epoch, ONE)),
        ),
    )


def damaged_disk(voter: Voter) -> DiskContents:
    """A disk whose state record is damaged."""
    intact = disk(voter, VIEW_6)
    return DiskContents(
        intact.folder, (intact.generations[0], StoredGeneration(Store.STATE, 3, None))
    )


def plan_with(
    *disks: DiskContents, lost: str = "", has_every_disk: bool = False
) -> RecoveryPlan | RecoveryRefused:
    return plan_recovery(disks, "n", 99, frozenset(lost), has_every_disk=has_every_disk)


@pytest.mark.parametrize(
    ("disks", "lost", "reasons"),
    [
        pytest.param((), "", ["nothing to begin with"], id="no disk"),
        pytest.param((disk(A, None),), "", ["nothing to begin with"], id="no view"),
        pytest.param(
            (disk(B, VIEW_6), disk(C, VIEW_6)),
            "",
            ["a: may have a newer acknowledged state (epoch 6)"],
            id="a voter that may have a newer state is not named",
        ),
        pytest.param(
            (disk(C, VIEW_6),),
            "a",
            ["b: may vote (epoch 6)"],
            id="a voter without a state is not named",
        ),
        pytest.param(
            (disk(A, VIEW_6), disk(C, VIEW_6)),
            "b",
            ["not needed"],
            id="a majority with an intact member",
        ),
        pytest.param(
            (disk(A, VIEW_6), disk(C, VIEW_6)),
            "ab",
            ["a: named as lost, but its disk is given"],
            id="the disk of a lost machine is given",
        ),
        pytest.param(
            (disk(B, VIEW_6), damaged_disk(C)),
            "a",
            ["disk-c: not both of its records are intact", "c: may have a newer"],
            id="a damaged disk",
        ),
        pytest.param(
            (disk(C, VIEW_6),),
            "ab",
            ["a later view is possible that no disk here knows"],
            id="no majority of the newest view",
        ),
        pytest.param(
            (disk(C, VIEW_6, proposal=view(7, "acd", a=1, d=7)), disk(B, VIEW_6)),
            "a",
            ["d: may have a newer acknowledged state (epoch 7)"],
            id="a proposal that may have been decided",
        ),
        pytest.param(
            (disk(B, VIEW_7), disk(C, VIEW_6)),
            "",
            ["a: may have a newer acknowledged state (epoch 7)"],
            id="one disk has a newer view",
        ),
    ],
)
def test_a_recovery_is_refused_with_its_reasons(
    disks: tuple[DiskContents, ...], lost: str, reasons: list[str]
) -> None:
    refusal = plan_with(*disks, lost=lost)
    assert isinstance(refusal, RecoveryRefused)
    assert len(refusal.reasons) == len(reasons)
    for reason, expected in zip(refusal.reasons, reasons, strict=True):
        assert expected in reason


def test_a_majority_without_an_intact_member_recovers_its_newest_state() -> None:
    plan = plan_with(disk(B, VIEW_6, state_epoch=4), disk(C, VIEW_6, state_epoch=5), lost="a")
    assert isinstance(plan, RecoveryPlan)
    assert (plan.source_folder, plan.may_lack) == ("disk-c", ("a",))
    new = Voter("n", 99)
    epoch = 6 + EPOCH_GAP
    expected = View(epoch, (new,), (ChainReplica(new, epoch, 1),))
    assert plan.acceptor == AcceptorState(new, expected, None, None, None)
    assert plan.state.epoch == epoch
    assert plan.state.state.sequence == 1 + SEQUENCE_GAP
    assert plan.state.state.document == b"one"


def test_a_recovery_from_an_intact_member_lacks_nothing() -> None:
    """An intact member has every acknowledged change, whichever disks are lost."""
    plan = plan_with(disk(A, VIEW_6, state_epoch=5), lost="bc", has_every_disk=True)
    assert isinstance(plan, RecoveryPlan)
    assert (plan.source_folder, plan.may_lack) == ("disk-a", ())


def test_a_voter_with_a_replaced_disk_is_requested_by_its_former_identity() -> None:
    replaced = disk(Voter("a", 5), VIEW_6, state_epoch=0)
    refusal = plan_with(replaced, disk(B, VIEW_6), disk(C, VIEW_6))
    assert isinstance(refusal, RecoveryRefused)
    assert [reason.partition(":")[0] for reason in refusal.reasons] == ["a"]
    assert isinstance(plan_with(replaced, disk(B, VIEW_6), disk(C, VIEW_6), lost="a"), RecoveryPlan)


async def commit_and_lose_two_disks(folder: Path, port: int) -> None:
    """Commit a change on three members, stop them, and delete two of their disks."""
    processes = [MemberProcess(host, port, folder / host) for host in HOSTS]
    for process in processes:
        await process.start()
    assert await submit_until_decided(processes[0], change_on(0, 1)) == ChangeCommitted(1)
    for process in processes:
        process.kill()
    for host in HOSTS[1:]:
        shutil.rmtree(folder / host)


async def run_recovered_core(folder: Path, port: int) -> tuple[Confirmation, Confirmation]:
    """Start the recovered member, then two members with empty disks, and commit a change.

    Returns:
        The first read of the recovered member, and a read of one that joined after the change.
    """
    processes = [MemberProcess(host, port, folder / host, bootstrap=False) for host in HOSTS]
    await processes[0].start()
    async with asyncio.timeout(10):
        while (first := await processes[0].confirm()) is None:
            await asyncio.sleep(0.01)
    for process in processes[1:]:
        await process.start()
    async with asyncio.timeout(10):
        while len(processes[2].driver.chain_addresses()) < len(HOSTS):
            await asyncio.sleep(0.01)
    assert isinstance(await submit_until_decided(processes[1], change_on(1, 2)), ChangeCommitted)
    async with asyncio.timeout(10):
        while (then := await processes[2].confirm()) is None:
            await asyncio.sleep(0.01)
    for process in processes:
        process.kill()
    return first, then


def test_a_recovered_core_serves_its_state_and_commits_changes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    port = free_port()
    asyncio.run(commit_and_lose_two_disks(tmp_path, port))
    remaining = str(tmp_path / HOSTS[0])
    address = f"{HOSTS[0]}:{port}"
    lost = [f"{host}:{port}" for host in HOSTS[1:]]
    recover = ["disk", "recover", remaining, "--into", remaining, "--address", address]

    assert main(["disk", "inspect", remaining]) == 0
    assert f"identity   {address}" in capsys.readouterr().out
    assert main([*recover, "--write"]) == EXIT_UNAVAILABLE
    refusal = capsys.readouterr().err
    assert all(name in refusal for name in lost)
    with_lost = [*recover, "--lost", *lost, "--has-every-disk"]
    before = read_disk(remaining)
    assert main(with_lost) == 0
    assert read_disk(remaining) == before  # the plan was only printed
    assert main([*with_lost, "--write"]) == 0
    assert "sequence 1" in capsys.readouterr().out
    assert read_disk(f"{remaining}/{FENCED_FOLDER}").generations == before.generations

    first, then = asyncio.run(run_recovered_core(tmp_path, port))
    assert (first.sequence, first.document) == (1 + SEQUENCE_GAP, b"0-1")
    assert (then.sequence, then.document) == (2 + SEQUENCE_GAP, b"1-2")


def test_inspect_reports_a_damaged_record(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    storage = Storage(str(tmp_path))
    storage.load()
    storage.save(Store.STATE, record_number(Store.STATE), encode(StoredState(1, ONE)))
    (file,) = tmp_path.glob("state-*.dat")
    content = bytearray(file.read_bytes())
    content[-1] ^= 1
    file.write_bytes(content)
    assert main(["disk", "inspect", str(tmp_path)]) == EXIT_UNAVAILABLE
    out = capsys.readouterr().out
    assert "state generation 1: BAD" in out
    assert "unusable" in out


def test_inspect_refuses_a_missing_folder(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["disk", "inspect", str(tmp_path / "none")]) == EXIT_FAULTS
    assert "cannot be read" in capsys.readouterr().err
    assert not (tmp_path / "none").exists()
