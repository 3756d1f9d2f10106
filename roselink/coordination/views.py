"""Membership views: the status of a member's peers, and the view that it would propose next.

No I/O, no clock. A view lists the voters that decide its successor, and the chain.
`ChainReplica.since` of a chain member is the epoch from which it has been in every chain. A member
whose disk has a state written in epoch `since` or later is *intact*.

The chain is that of chain replication (van Renesse and Schneider, OSDI 2004): a write is
acknowledged once it is on every disk of the chain. As in Vertical Paxos (Lamport, Malkhi and Zhou,
PODC 2009) the configuration of each epoch is agreed on separately from the writes, and a new epoch
begins with the state of a member of the previous epoch. Unlike there, no separate master decides on
views: the voters of the previous view do, by one instance of Paxos per epoch (`acceptor`,
`proposal_round`).

V1. The state of an intact member of the chain of epoch e, once it has stopped participating in e,
    has every write that is ever acknowledged in an epoch up to e.

  Proof, by induction over epochs. Let the state on the disk of B have been written in s, since <= s
  <= e.

  1. B participated in s, so its state of s began as that of the head of s, which was intact in the
     previous view (V2), and has all writes from before s.
  2. A write is acknowledged in s only when every member of the chain, including B, has it on its
     disk. B had to participate in s for that, so it had the write when it left s.
  3. For each epoch k between s and e, B is in the chain of k. If B isn't its head, no write is
     acknowledged in k before B has saved the state of k, and then the state on its disk would be of
     k and not of s. If B is its head, k begins with B's own state, and B has what it appends. B
     never participates in k after it has left k. So no write is ever acknowledged in k that B
     lacks.

V2. The head of a proposed view is intact in the previous view. It sends its state down the chain,
    and nothing is acknowledged before that state is on the tail's disk. This also holds if a view
    never becomes active: its members that were in the chain before stay intact until they have
    received the new state. A member that is not intact can only be synced.

V3. No chain with fewer than `tolerated + 1` intact members is proposed while the state can still
    reach one of its members that is being synced. In the first second of a view, it is also not
    proposed while the path of the state to such a member is broken.

  Reason: a member that is new to the chain is not intact before it has received the state. If
  another member were falsely suspected at that time, a shorter chain would depend on fewer intact
  members than may be lost, and their loss would leave a chain without an eligible head. The state
  is sent down the chain within some hundredths of a second, whether the suspected member is alive
  or not, unless that member has to forward it. The wait ends as soon as the member has the state,
  or is ineligible itself: its disk fails or is slow, or it is unreachable.

V4. A chain has at least `tolerated + 1` members (or a majority of the voters, if that is fewer),
    even if a majority of the voters could decide a shorter one.

  Reason: what is acknowledged is on every disk of the chain, so it survives the loss of any
  `tolerated` disks. A machine that is absent counts as lost until `sync_s` after its return, and
  within that time it is back in the chain, so the disks that a shorter chain lacks are already
  counted.

V5. A chain without an eligible head requires that more than `tolerated` machines have each lost
    their disk, or were removed from the chain, since the last view with `tolerated + 1` intact
    members.

  Proof. Take that last view. Each of its intact members either remained in every chain since, and
  so stayed intact: as no member can head the chain, its disk is lost. Or a later proposal removed
  it. There are at least `tolerated + 1` of them. A proposal removes a member only if it is
  suspected, is leaving, or has a disk that fails or is slow. All of these count as lost under the
  rules, except a false suspicion. V3 keeps proposals from removing a member while the sync of
  another is about to restore `tolerated + 1` intact members.

  The remedy is `roselink disk recover` (docs/operations.md), run by an operator who knows which
  machines will not return.

V6. A live member that is leaving, with a healthy disk, stays in the chain until `tolerated + 1`
    other members of the planned chain are intact.

  Reason: its process ends once it isn't in the chain, and its machine may be gone for good. Until
  then it heads the chain or forwards the state like any other member, so a joiner that replaces it
  receives the state first. If no other member can become intact, the process ends without having
  left; it then counts as lost, and V3 to V5 hold as for any lost machine.

Which voters the next view has, and why a majority of them stays: Q1 to Q3 in `voter_plan`. When a
process that leaves may end: D1 in `departure`.
"""

from __future__ import annotations

import math
from dataclasses import replace
from itertools import combinations
from typing import TYPE_CHECKING

from roselink.coordination.effects import RemovalEvidence
from roselink.coordination.voter_plan import plan_voters
from roselink.protocol.chain import ChainReplica, View, Voter

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from roselink.coordination.peer_status import PeerStatus, ViewPolicy


def first_view(seeds: Iterable[str]) -> View:
    """The first view of a new system: the seeds, in the given order."""
    voters = tuple(Voter(address, 0) for address in dict.fromkeys(seeds))
    return View(1, voters, tuple(ChainReplica(voter, 1, 0) for voter in voters))


def majority(view: View) -> int:
    """The size of a majority of the view's voters."""
    return len(view.voters) // 2 + 1


def replica_of(view: View | None, voter: Voter) -> ChainReplica | None:
    """The voter's replica in the view's chain, if it has one."""
    if view is None:
        return None
    return next((replica for replica in view.chain if replica.voter == voter), None)


def is_intact(view: View, peer: PeerStatus) -> bool:
    """Whether the peer may be the head of the next view (V1 and V2 of the module)."""
    replica = replica_of(view, peer.voter)
    return replica is not None and peer.state_epoch >= replica.since


def plan(
    view: View, peers: Mapping[str, PeerStatus], policy: ViewPolicy, *, is_recent: bool = False
) -> View | None:
    """The view that should be proposed next, or None if none is better than the current one.

    Args:
        view: the current view.
        peers: the status of every known machine by address, including this one.
        policy: the parameters of the plan.
        is_recent: whether the view is in its first second (V3).
    """
    if _needs_no_plan(view, peers):
        return None
    voters, chain = _plan_members(view, peers, policy)
    if chain is None or _intact_count(view, chain, peers) <= policy.tolerated:
        peers = _with_leaving_replicas_retained(view, peers)
        voters, chain = _plan_members(view, peers, policy)
    if chain is None or _awaits_state_transfer(view, chain, peers, policy, is_recent=is_recent):
        return None
    proposal = View(view.epoch + 1, voters, chain)
    same_members = {replica.voter for replica in chain} == {replica.voter for replica in view.chain}
    if voters == view.voters and same_members and chain_is_complete(view, peers):
        return None
    return proposal


def _plan_members(
    view: View, peers: Mapping[str, PeerStatus], policy: ViewPolicy
) -> tuple[tuple[Voter, ...], tuple[ChainReplica, ...] | None]:
    voters = plan_voters(view, peers, policy)
    return voters, _plan_chain(view, voters, peers, policy)


def _intact_count(
    view: View, chain: tuple[ChainReplica, ...], peers: Mapping[str, PeerStatus]
) -> int:
    """How many members of a planned chain are intact in the current view."""
    return sum(is_intact(view, peers[replica.voter.address]) for replica in chain)


def _with_leaving_replicas_retained(
    view: View, peers: Mapping[str, PeerStatus]
) -> Mapping[str, PeerStatus]:
    """The same statuses, but members of the chain that are leaving count as staying (V6)."""
    return {
        address: peer if replica_of(view, peer.voter) is None else replace(peer, leaving=False)
        for address, peer in peers.items()
    }


def chain_is_reconnected(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether all machines of the view's chain are eligible and reach each other.

    They may run other processes than those that the view names.
    """
    statuses = [peers.get(replica.voter.address) for replica in view.chain]
    group = tuple(peer for peer in statuses if peer is not None and peer.eligible)
    return len(group) == len(view.chain) and _all_reach_each_other(group)


def chain_is_complete(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether every process in the view's chain participates, as far as this member knows."""
    return all(
        _participates(view, replica, peers.get(replica.voter.address)) for replica in view.chain
    )


def should_await_joiners(view: View, proposal: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether a proposal should wait for further joiners.

    It should if it only adds machines to a complete chain, and others will soon be able to join.
    """
    members = {replica.voter for replica in proposal.chain}
    current = {replica.voter for replica in view.chain}
    if not chain_is_complete(view, peers) or not current < members:
        return False
    return any(
        peer.eligible and not peer.stable and peer.voter not in members for peer in peers.values()
    )


def removal_evidence(
    view: View, proposal: View, peers: Mapping[str, PeerStatus]
) -> tuple[RemovalEvidence, ...]:
    """What is known against each machine of the view's chain that the proposal's chain lacks."""
    remaining = {replica.voter for replica in proposal.chain}
    chain = [replica.voter for replica in view.chain]
    return tuple(
        _evidence_against(voter.address, chain, peers) for voter in chain if voter not in remaining
    )


def _evidence_against(
    address: str, chain: list[Voter], peers: Mapping[str, PeerStatus]
) -> RemovalEvidence:
    peer = peers.get(address)
    if peer is None:
        return RemovalEvidence(
            address, math.inf, live=False, disk_ok=True, leaving=False, broken_links=()
        )
    others = [peers[voter.address] for voter in chain if voter.address in peers]
    broken = tuple(
        other.voter.address
        for other in others
        if other is not peer and not _reach_each_other(peer, other)
    )
    return RemovalEvidence(
        address, peer.silent_s, peer.live, peer.disk_ok, peer.leaving, broken_links=broken
    )


def _needs_no_plan(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether every known machine is in the chain and eligible: a fast check of the usual case."""
    if not len(peers) == len(view.chain) == len(view.voters):
        return False
    return (
        all(peer.eligible for peer in peers.values())
        and chain_is_complete(view, peers)
        and _all_reach_each_other(tuple(peers.values()))
    )


def _participates(view: View, replica: ChainReplica, peer: PeerStatus | None) -> bool:
    if peer is None or peer.voter != replica.voter or replica.session not in (0, peer.session):
        return False
    return peer.participating or peer.epoch < view.epoch


def _plan_chain(
    view: View, voters: tuple[Voter, ...], peers: Mapping[str, PeerStatus], policy: ViewPolicy
) -> tuple[ChainReplica, ...] | None:
    """The longest chain of eligible machines that all reach each other, one of them intact (V4).

    Of several, the one that keeps the most current replicas, then those nearest to the head.
    """
    candidates = [peer for peer in peers.values() if peer.eligible and peer.voter in voters]
    candidates = [
        peer for peer in candidates if replica_of(view, peer.voter) is not None or peer.stable
    ]
    min_length = min(policy.tolerated + 1, len(voters) // 2 + 1)
    best: tuple[tuple[int, int, tuple[int, ...]], tuple[PeerStatus, ...]] | None = None
    index_of = {replica.voter: index for index, replica in enumerate(view.chain)}
    joiner_index = len(index_of)
    candidates.sort(key=lambda peer: (index_of.get(peer.voter, joiner_index), peer.voter.address))
    for size in range(len(candidates), min_length - 1, -1):
        for group in combinations(candidates, size):
            if not any(is_intact(view, peer) for peer in group) or not _is_connected(view, group):
                continue
            retained_count = sum(peer.voter in index_of for peer in group)
            positions = tuple(-index_of.get(peer.voter, joiner_index) for peer in group)
            rank = (retained_count, size, positions)
            if best is None or rank > best[0]:
                best = rank, group
        if best is not None:
            return _arrange_chain(view, best[1])
    return None


def _awaits_state_transfer(
    view: View,
    chain: tuple[ChainReplica, ...],
    peers: Mapping[str, PeerStatus],
    policy: ViewPolicy,
    *,
    is_recent: bool,
) -> bool:
    """Whether to wait until a member of a proposed chain has received the state (V3)."""
    if _intact_count(view, chain, peers) > policy.tolerated:
        return False
    members = [peers[replica.voter.address] for replica in chain]
    return any(
        peer.participating
        and peer.epoch == view.epoch
        and not is_intact(view, peer)
        and (is_recent or _state_can_reach(view, peer, members))
        for peer in members
    )


def _state_can_reach(view: View, lagging: PeerStatus, members: list[PeerStatus]) -> bool:
    """Whether every replica before the lagging one in the view's chain can forward the state."""
    eligible = {peer.voter: peer for peer in members}
    for replica in view.chain:
        if replica.voter == lagging.voter:
            return True
        if not _participates(view, replica, eligible.get(replica.voter)):
            return False
    return False


def _all_reach_each_other(group: tuple[PeerStatus, ...]) -> bool:
    return all(_reach_each_other(one, other) for one, other in combinations(group, 2))


def _is_connected(view: View, group: tuple[PeerStatus, ...]) -> bool:
    """Whether a group can be a chain: no link between two of its members is known to be broken.

    A new member has to reach all others before it joins. Between two current members, a link that
    was reported as broken a moment ago is only in doubt: one of them may have stopped, and the
    planner soon knows which (L1 in `peer_table`).
    """
    for one, other in combinations(group, 2):
        both_stay = None not in (replica_of(view, one.voter), replica_of(view, other.voter))
        is_broken = (
            other.voter.address in one.broken_links or one.voter.address in other.broken_links
        )
        if is_broken if both_stay else not _reach_each_other(one, other):
            return False
    return True


def _reach_each_other(one: PeerStatus, other: PeerStatus) -> bool:
    return one.voter.address in other.reachable and other.voter.address in one.reachable


def _arrange_chain(view: View, group: tuple[PeerStatus, ...]) -> tuple[ChainReplica, ...]:
    """The group as a chain, head first.

    Current members keep their order, after an intact head. New ones are inserted before the tail
    unless that is the head, so that the tail, which serves reads, stays the same.
    """
    retained = [peer for peer in group if replica_of(view, peer.voter) is not None]
    joining = [peer for peer in group if replica_of(view, peer.voter) is None]
    intact = [peer for peer in retained if is_intact(view, peer)]
    lagging = [peer for peer in retained if not is_intact(view, peer)]
    head = intact[0]
    others = intact[1:]
    ordered = [head, *others[:-1], *lagging, *joining, *others[-1:]]
    replicas = []
    for peer in ordered:
        replica = replica_of(view, peer.voter)
        since = view.epoch + 1 if replica is None else replica.since
        replicas.append(ChainReplica(peer.voter, since, peer.session))
    return tuple(replicas)
