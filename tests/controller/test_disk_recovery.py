"""Disks of stopped members: what is on them, and the disk with which a core begins anew."""

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
from tests.controller.test_chain_driver import HOSTS, Process, free_port, order_on, settled

if TYPE_CHECKING:
    from pathlib import Path

A, B, C, D = (Voter(name, 0) for name in "abcd")
CHANGE = ConfigurationChange(0, 1, b"one", digest_of(0, b"one"))
ONE = apply_change(EMPTY, CHANGE, refused=False)


def view(epoch: int, voters: str, **since: int) -> View:
    chain = tuple(ChainReplica(Voter(name, 0), first, 7) for name, first in since.items())
    return View(epoch, tuple(Voter(name, 0) for name in voters), chain)


# c replaced b, and is the one that had not taken the state over when a's disk was lost.
SIX = view(6, "abc", a=1, c=6)
SEVEN = view(7, "abc", a=1, b=7)


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


def damaged(voter: Voter) -> DiskContents:
    """A disk whose state is torn."""
    whole = disk(voter, SIX)
    return DiskContents(
        whole.folder, (whole.generations[0], StoredGeneration(Store.STATE, 3, None))
    )


def planned(
    *disks: DiskContents, lost: str = "", has_every_disk: bool = False
) -> RecoveryPlan | RecoveryRefused:
    return plan_recovery(disks, "n", 99, frozenset(lost), has_every_disk=has_every_disk)


@pytest.mark.parametrize(
    ("disks", "lost", "reasons"),
    [
        pytest.param((), "", ["nothing to begin with"], id="no disk"),
        pytest.param((disk(A, None),), "", ["nothing to begin with"], id="no view"),
        pytest.param(
            (disk(B, SIX), disk(C, SIX)),
            "",
            ["a: may have a newer acknowledged state (epoch 6)"],
            id="the one that may have more is not named",
        ),
        pytest.param(
            (disk(C, SIX),),
            "a",
            ["b: may vote (epoch 6)"],
            id="one that may vote is not named",
        ),
        pytest.param(
            (disk(A, SIX), disk(C, SIX)),
            "b",
            ["not needed"],
            id="they can start",
        ),
        pytest.param(
            (disk(A, SIX), disk(C, SIX)),
            "ab",
            ["a: named as lost, but its disk is given"],
            id="a contradiction",
        ),
        pytest.param(
            (disk(B, SIX), damaged(C)),
            "a",
            ["disk-c: not both of its records are intact", "c: may have a newer"],
            id="a damaged disk counts for nothing",
        ),
        pytest.param(
            (disk(C, SIX),),
            "ab",
            ["a later view is possible that no disk here knows"],
            id="no majority",
        ),
        pytest.param(
            (disk(C, SIX, proposal=view(7, "acd", a=1, d=7)), disk(B, SIX)),
            "a",
            ["d: may have a newer acknowledged state (epoch 7)"],
            id="a proposal that may have been decided",
        ),
        pytest.param(
            (disk(B, SEVEN), disk(C, SIX)),
            "",
            ["a: may have a newer acknowledged state (epoch 7)"],
            id="the newest view counts",
        ),
    ],
)
def test_a_recovery_is_refused(
    disks: tuple[DiskContents, ...], lost: str, reasons: list[str]
) -> None:
    refused = planned(*disks, lost=lost)
    assert isinstance(refused, RecoveryRefused)
    assert len(refused.reasons) == len(reasons)
    for said, expected in zip(refused.reasons, reasons, strict=True):
        assert expected in said


def test_a_majority_without_an_intact_member_begins_with_what_it_has() -> None:
    plan = planned(disk(B, SIX, state_epoch=4), disk(C, SIX, state_epoch=5), lost="a")
    assert isinstance(plan, RecoveryPlan)
    assert (plan.source_folder, plan.may_lack) == ("disk-c", ("a",))
    new = Voter("n", 99)
    epoch = 6 + EPOCH_GAP
    expected = View(epoch, (new,), (ChainReplica(new, epoch, 1),))
    assert plan.acceptor == AcceptorState(new, expected, None, None, None)
    assert plan.state.epoch == epoch
    assert plan.state.state.sequence == 1 + SEQUENCE_GAP
    assert plan.state.state.document == b"one"


def test_an_intact_member_alone_lacks_nothing() -> None:
    """A state of a later epoch on a member that was dropped does not go before it."""
    plan = planned(disk(A, SIX, state_epoch=5), lost="bc", has_every_disk=True)
    assert isinstance(plan, RecoveryPlan)
    assert (plan.source_folder, plan.may_lack) == ("disk-a", ())


def test_a_machine_whose_disk_was_replaced_is_named_by_its_former_identity() -> None:
    replaced = disk(Voter("a", 5), SIX, state_epoch=0)
    refused = planned(replaced, disk(B, SIX), disk(C, SIX))
    assert isinstance(refused, RecoveryRefused)
    assert [reason.partition(":")[0] for reason in refused.reasons] == ["a"]
    assert isinstance(planned(replaced, disk(B, SIX), disk(C, SIX), lost="a"), RecoveryPlan)


async def stopped_core(folder: Path, port: int) -> None:
    """Three members that committed a change; two of them then lose their disks."""
    processes = [Process(host, port, folder / host) for host in HOSTS]
    for process in processes:
        await process.begin()
    assert await settled(processes[0], order_on(0, 1)) == ChangeCommitted(1)
    for process in processes:
        process.kill()
    for host in HOSTS[1:]:
        shutil.rmtree(folder / host)


async def begun_anew(folder: Path, port: int) -> tuple[Confirmation, Confirmation]:
    """What the recovered core shows at first, and after one more change, at a machine that joined.

    Two machines begin with empty disks.
    """
    processes = [Process(host, port, folder / host, bootstrap=False) for host in HOSTS]
    await processes[0].begin()
    async with asyncio.timeout(10):
        while (first := await processes[0].confirm()) is None:
            await asyncio.sleep(0.01)
    for process in processes[1:]:
        await process.begin()
    async with asyncio.timeout(10):
        while len(processes[2].node.chain_addresses()) < len(HOSTS):
            await asyncio.sleep(0.01)
    assert isinstance(await settled(processes[1], order_on(1, 2)), ChangeCommitted)
    async with asyncio.timeout(10):
        while (then := await processes[2].confirm()) is None:
            await asyncio.sleep(0.01)
    for process in processes:
        process.kill()
    return first, then


def test_a_core_of_real_processes_begins_anew(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    port = free_port()
    asyncio.run(stopped_core(tmp_path, port))
    left = str(tmp_path / HOSTS[0])
    address = f"{HOSTS[0]}:{port}"
    lost = [f"{host}:{port}" for host in HOSTS[1:]]
    recover = ["disk", "recover", left, "--into", left, "--address", address]

    assert main(["disk", "inspect", left]) == 0
    assert f"identity   {address}" in capsys.readouterr().out
    assert main([*recover, "--write"]) == EXIT_UNAVAILABLE
    refused = capsys.readouterr().err
    assert all(name in refused for name in lost)
    named = [*recover, "--lost", *lost, "--has-every-disk"]
    before = read_disk(left)
    assert main(named) == 0
    assert read_disk(left) == before  # printed only
    assert main([*named, "--write"]) == 0
    assert "sequence 1" in capsys.readouterr().out
    assert read_disk(f"{left}/{FENCED_FOLDER}").generations == before.generations

    first, then = asyncio.run(begun_anew(tmp_path, port))
    assert (first.sequence, first.document) == (1 + SEQUENCE_GAP, b"0-1")
    assert (then.sequence, then.document) == (2 + SEQUENCE_GAP, b"1-2")


def test_inspect_names_a_torn_record(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
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


def test_inspect_wants_a_folder(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["disk", "inspect", str(tmp_path / "none")]) == EXIT_FAULTS
    assert "cannot be read" in capsys.readouterr().err
    assert not (tmp_path / "none").exists()
