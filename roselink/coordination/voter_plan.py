"""The voters of the next view. No I/O, no clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from roselink.coordination.peer_status import PeerStatus, ViewPolicy
    from roselink.protocol.chain import View, Voter

# Maximum number of voters. At the maximum, a joiner is only added in place of an absent voter.
MAX_VOTERS = 9


def plan_voters(
    view: View, peers: Mapping[str, PeerStatus], policy: ViewPolicy
) -> tuple[Voter, ...]:
    """The voters of the next view: each joiner replaces an absent voter, or is added."""
    voters = list(view.voters)
    joiners = [
        peer.voter
        for peer in peers.values()
        if peer.eligible and peer.stable and peer.voter not in view.voters
    ]
    for joiner in joiners:
        same_address = next(
            (index for index, voter in enumerate(voters) if voter.address == joiner.address), None
        )
        if same_address is not None:
            voters[same_address] = joiner
            continue
        absent = _longest_absent(voters, peers, policy.absence_timeout_s)
        if absent is not None:
            voters[absent] = joiner
        elif len(voters) < MAX_VOTERS:
            voters.append(joiner)
    while len(voters) > 2 * policy.tolerated + 1:
        absent = _longest_absent(voters, peers, policy.absence_timeout_s)
        if absent is None:
            break
        del voters[absent]
    return tuple(voters)


def _longest_absent(
    voters: list[Voter], peers: Mapping[str, PeerStatus], timeout_s: float
) -> int | None:
    """The index of the voter longest without a heartbeat; None if below `timeout_s`."""
    absences = [
        (peers[voter.address].since_heartbeat_s if voter.address in peers else float("inf"), index)
        for index, voter in enumerate(voters)
    ]
    longest_s, index = max(absences)
    return index if longest_s >= timeout_s else None
