"""What a member knows of the others by their heartbeats, and what it plans from that."""

from __future__ import annotations

import pytest

from roselink.coordination.peer_status import PeerStatus, ViewPolicy
from roselink.coordination.peer_table import LINK_TIMEOUT_S, SUSPECT_TIMEOUT_S, PeerTable
from roselink.coordination.views import plan
from roselink.protocol.chain import ChainReplica, Heartbeat, View, Voter

INTERVAL_S = 0.1
STOPPED, OTHER, PLANNER = "stopped", "other", "planner"
VOTERS = tuple(Voter(name, 0) for name in (STOPPED, OTHER, PLANNER))
# The machine that stops is the head, which a plan keeps rather than those behind it.
VIEW = View(1, VOTERS, tuple(ChainReplica(voter, 1, 1) for voter in VOTERS))


def heartbeat(name: str, *reachable: str, session: int = 1) -> Heartbeat:
    return Heartbeat(
        sender=Voter(name, 0),
        session=session,
        epoch=1,
        state_epoch=1,
        sequence=1,
        participating=True,
        disk_ok=True,
        leaving=False,
        chain_is_complete=True,
        reachable=reachable,
    )


def own_status(table: PeerTable, now: float) -> PeerStatus:
    return PeerStatus(
        voter=table.voter,
        session=1,
        epoch=1,
        state_epoch=1,
        participating=True,
        disk_ok=True,
        leaving=False,
        live=True,
        stable=True,
        since_heartbeat_s=0.0,
        reachable=frozenset(table.reachable(now)),
    )


def planned_chain(table: PeerTable, now: float) -> list[str] | None:
    proposal = plan(VIEW, table.snapshot(now, own_status(table, now), ()), ViewPolicy(1))
    return None if proposal is None else [each.voter.address for each in proposal.chain]


def healthy_table() -> tuple[PeerTable, float]:
    """The planner's table after some rounds of heartbeats; and the time of the last one."""
    table, now = PeerTable(Voter(PLANNER, 0)), 0.0
    for _ in range(10):
        now += INTERVAL_S
        table.on_heartbeat(heartbeat(STOPPED, OTHER, PLANNER), now)
        table.on_heartbeat(heartbeat(OTHER, STOPPED, PLANNER), now)
    return table, now


# A live member was dropped in the place of the dead one, which then had to be found out anew.
@pytest.mark.parametrize("skew_s", [0.0, 0.02, 0.1, 0.3])
@pytest.mark.parametrize("pause_s", [0.0, 1.0])
def test_a_live_member_is_not_removed_in_the_place_of_a_stopped_one(
    skew_s: float, pause_s: float
) -> None:
    """The other member notices the stop `skew_s` before the planner does."""
    table, stopped_at = healthy_table()
    end = stopped_at + pause_s + SUSPECT_TIMEOUT_S + LINK_TIMEOUT_S + 1.0
    now, paused = stopped_at + pause_s, pause_s == 0.0
    while now < end:
        now += INTERVAL_S / 2
        if not paused:
            table.discount_pause(pause_s, now)
            paused = True
        noticed = now - stopped_at >= SUSPECT_TIMEOUT_S - skew_s
        table.on_heartbeat(heartbeat(OTHER, *(() if noticed else (STOPPED,)), PLANNER), now)
        chain = planned_chain(table, now)
        assert chain in (None, [OTHER, PLANNER])
    assert planned_chain(table, end) == [OTHER, PLANNER]


def test_a_restarted_member_that_has_not_heard_the_others_yet_stays() -> None:
    """Its first heartbeats list nobody: that is no sign of a broken link."""
    table, now = healthy_table()
    now += INTERVAL_S
    table.on_heartbeat(heartbeat(STOPPED, OTHER, PLANNER), now)
    table.on_heartbeat(heartbeat(OTHER, PLANNER, session=2), now)
    chain = planned_chain(table, now)
    assert chain is None or OTHER in chain


def test_a_member_whose_link_stays_broken_is_removed() -> None:
    table, now = healthy_table()
    broken_at = now
    while planned_chain(table, now) is None:
        now += INTERVAL_S
        table.on_heartbeat(heartbeat(STOPPED, PLANNER), now)
        table.on_heartbeat(heartbeat(OTHER, PLANNER), now)
        assert now - broken_at < LINK_TIMEOUT_S + 3 * INTERVAL_S
    assert planned_chain(table, now) == [STOPPED, PLANNER]
    assert now - broken_at >= LINK_TIMEOUT_S


def test_a_link_that_is_back_is_no_longer_in_doubt() -> None:
    table, now = healthy_table()
    table.on_heartbeat(heartbeat(OTHER, PLANNER), now + INTERVAL_S)
    table.on_heartbeat(heartbeat(OTHER, STOPPED, PLANNER), now + 2 * INTERVAL_S)
    later = now + 2 * INTERVAL_S + LINK_TIMEOUT_S
    table.on_heartbeat(heartbeat(STOPPED, OTHER, PLANNER), later)
    table.on_heartbeat(heartbeat(OTHER, PLANNER), later)
    assert planned_chain(table, later) is None
