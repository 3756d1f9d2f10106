"""The voters of the next view. No I/O, no clock.

A voter that stays counts towards a majority; one that is absent, or whose process is about to end,
does not. Let t be `ViewPolicy.tolerated`. A machine that leaves for good counts as lost unless its
successor has had the time to become a voter, so under the rules of the deployment at least t + 1
voters stay.

Q1. However many voters leave, in series or together, a majority of the voters of the view that is
    agreed next stays, if at least t + 1 voters stay, and at most t voters are lost that are neither
    absent nor leaving yet.

  Proof. `plan_voters` drops absent and leaving voters until none of them is left, or until only
  2t + 1 voters are. In the first case all of at least 2t + 1 voters stay but the at most t that are
  lost and not absent yet, which is a majority. In the second at least t + 1 of 2t + 1 stay. (If the
  view has fewer than 2t + 1 voters, none is dropped, and it can't bear t losses in any case.)

Q2. The view that drops a voter is agreed while that voter still votes: a leaving process continues
    until it is dropped (D1 in `departure`). So a majority of the former view needs no machine that
    has ended, and voters that leave together can be dropped together.

Q3. A voter that was dropped never decides anything again, even if it returns with its disk. Views
    are decided by the voters of the view before (R3 in `proposal_round`). Another successor of the
    former view can't be decided, since a majority of that view's voters has the acceptance of this
    one on disk (A1 in `acceptor`), and every majority of them has one of these. A tail of the
    former view confirms no read for the same reason (C1 in `reads`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from roselink.coordination.peer_status import PeerStatus, ViewPolicy
    from roselink.protocol.chain import View, Voter

# Maximum number of voters. At the maximum, a joiner is only added in place of a departing voter.
MAX_VOTERS = 9


def required_voters(policy: ViewPolicy) -> int:
    """The number of voters below which none is dropped: a majority of them bears the losses."""
    return 2 * policy.tolerated + 1


def plan_voters(
    view: View, peers: Mapping[str, PeerStatus], policy: ViewPolicy
) -> tuple[Voter, ...]:
    """The voters of the next view: each joiner replaces a departing voter, or is added (Q1)."""
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
        departing = _departing_voter(voters, peers, policy)
        if departing is not None:
            voters[departing] = joiner
        elif len(voters) < MAX_VOTERS:
            voters.append(joiner)
    while len(voters) > required_voters(policy):
        departing = _departing_voter(voters, peers, policy)
        if departing is None:
            break
        del voters[departing]
    return tuple(voters)


def staying_voters_lack_majority(
    view: View, peers: Mapping[str, PeerStatus], policy: ViewPolicy
) -> bool:
    """Whether the voters that stay lack a majority, though enough machines stay for a chain."""
    staying = {peer.voter for peer in peers.values() if peer.eligible}
    staying_voters = sum(voter in staying for voter in view.voters)
    return len(staying) > policy.tolerated and staying_voters <= len(view.voters) // 2


def _departing_voter(
    voters: list[Voter], peers: Mapping[str, PeerStatus], policy: ViewPolicy
) -> int | None:
    """The index of the voter to drop first: the longest absent one, else one that is leaving."""
    absent = _longest_absent(voters, peers, policy.absence_timeout_s)
    return _first_leaving(voters, peers) if absent is None else absent


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


def _first_leaving(voters: list[Voter], peers: Mapping[str, PeerStatus]) -> int | None:
    """The index of the first voter whose process is about to end."""
    leaving = {peer.voter for peer in peers.values() if peer.leaving}
    return next((index for index, voter in enumerate(voters) if voter in leaving), None)
