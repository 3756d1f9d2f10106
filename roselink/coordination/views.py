"""Membership views: what a member knows of its peers, and which view it would propose next.

No I/O, no clock. A view lists the voters who decide its successor, and the chain.
`ChainReplica.since` of a chain member is the epoch from which it has been in every chain. A member
whose disk has a state written in epoch `since` or later is *intact*.

The chain is that of chain replication (van Renesse and Schneider, OSDI 2004): a write is
acknowledged once it is on every disk of the chain. As in Vertical Paxos (Lamport, Malkhi and Zhou,
PODC 2009) the configuration of each epoch is agreed on apart from the writes, and a new epoch
begins with the state of a member of the epoch before. Other than there, no separate master decides
on views: the voters of the view before do, by one instance of Paxos an epoch (`acceptor`,
`proposal_round`).

V1. The state of an intact member of the chain of epoch e, once it has stopped participating in e,
    has every write that is ever acknowledged in an epoch up to e.

  Proof, by induction over epochs. Let the state on the disk of B have been written in s, since <= s
  <= e.

  1. B participated in s, so its state of s began as that of the head of s, which was intact in the
     view before (V2), and has all from before s.
  2. A write is acknowledged in s only when every member of the chain has it on its disk, B too, and
     B had to participate in s for that, so it had it when it left.
  3. For each epoch k between s and e, B is in the chain of k. If B isn't its head, no write is
     acknowledged in k before B has put the state of k on its disk, and then the state on its disk
     were of k and not of s. If B is its head, B's own state is that with which k begins, and it has
     what it appends. B never participates in k after it has left k. So nothing is acknowledged in
     k, ever, that B lacks.

V2. The head of a proposed view is intact in the view before. It pushes its state down the chain,
    and nothing is acknowledged before the tail has it on its disk. This also holds when a view
    never becomes active: its members that were in the chain before stay intact until they take over
    the new state. Whoever is not intact can only be synced.

V3. No chain is proposed that has fewer than `tolerated + 1` intact members while the state can
    still reach one of its members that takes it over. For the first second of a view it is also not
    proposed while such a member's way to the state is broken.

  Why: a member that is new to the chain is not intact before it has taken over the state. Were
  another suspected falsely just then, a shorter chain would rest on fewer intact members than may
  be lost, and the loss of those would leave a chain that nobody can head. The state comes down the
  chain within some hundredths of a second, whether the suspected member lives or not, unless it is
  one that passes it on. The wait ends as soon as the member has the state, or is ineligible itself:
  its disk refuses or is late, or it is out of reach.

V4. A chain has `tolerated + 1` members at least (save that a majority of the voters are fewer),
    also when a majority of the voters could decide a shorter one.

  Why: what is acknowledged is on every disk of the chain, so it outlives the loss of any
  `tolerated` disks. A machine that is away counts as lost until `sync_s` after its return, and
  within that time it is back in the chain; so the disks that a shorter chain lacks are already
  counted.

V5. A chain that nobody can head takes more than `tolerated` machines of which each has lost its
    disk, or was dropped from the chain, since the last view with `tolerated + 1` intact members.

  Proof. Take that last view. Each of its intact members either stayed in every chain since, and so
  stayed intact: nobody can head the chain, so its disk is lost. Or a later proposal dropped it.
  They are `tolerated + 1` at least. A proposal drops a member only if it is suspected, leaves, or
  has a disk that refuses or is late, all of which count as lost under the rules save a suspicion by
  mistake. V3 keeps proposals from dropping one while another's take-over would end such a stretch.

  What is left when it happens: `roselink disk recover` (docs/operations.md), by a person who knows
  which machines will not come back.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations
from typing import TYPE_CHECKING

from roselink.protocol.chain import ChainReplica, View, Voter

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# A joiner beyond so many voters is let in only in place of one that is gone.
MAX_VOTERS = 9


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What is known of one core machine at the moment of a plan.

    Attributes:
        voter: its identity.
        session: its process.
        epoch: the epoch of the newest view that it knows.
        state_epoch: the epoch of the state on its disk.
        participating: whether it participates in the chain of `epoch`.
        disk_ok: whether its disk takes saves in time.
        leaving: whether its process is about to end.
        live: whether it and the planner receive each other's heartbeats.
        stable: whether it has been live and eligible for long enough to join.
        since_heartbeat_s: the time since its last heartbeat; 0 while a live machine receives any.
        reachable: the addresses from which it reports to receive heartbeats.
    """

    voter: Voter
    session: int
    epoch: int
    state_epoch: int
    participating: bool
    disk_ok: bool
    leaving: bool
    live: bool
    stable: bool
    since_heartbeat_s: float
    reachable: frozenset[str]

    @property
    def eligible(self) -> bool:
        """Whether it can be in a chain."""
        return self.live and self.disk_ok and not self.leaving


@dataclass(frozen=True, slots=True)
class ViewPolicy:
    """The figures that plans go by.

    Attributes:
        tolerated: how many machines may be lost at once.
        absence_timeout_s: a voter without a heartbeat for this time is replaced by a joiner, or
            removed while more than `2 * tolerated + 1` voters remain, so that a majority needs
            fewer live voters. It may join again like any other machine.
    """

    tolerated: int
    absence_timeout_s: float = 0.45


def first_view(seeds: Iterable[str]) -> View:
    """The view with which a new system starts: the seeds, in order."""
    voters = tuple(Voter(address, 0) for address in dict.fromkeys(seeds))
    return View(1, voters, tuple(ChainReplica(voter, 1, 0) for voter in voters))


def majority(view: View) -> int:
    """How many of the view's voters are a majority."""
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
    """The view that should follow, or None while the present one is the best that can be had.

    Args:
        view: the present view.
        peers: every known machine by address, the planner too.
        policy: the figures to go by.
        is_recent: whether the view is in its first second (V3).
    """
    if _needs_no_plan(view, peers):
        return None
    voters = _plan_voters(view, peers, policy)
    chain = _plan_chain(view, voters, peers, policy)
    if chain is None or _awaits_state_transfer(view, chain, peers, policy, is_recent=is_recent):
        return None
    proposal = View(view.epoch + 1, voters, chain)
    same_members = {replica.voter for replica in chain} == {replica.voter for replica in view.chain}
    if voters == view.voters and same_members and chain_is_complete(view, peers):
        return None
    return proposal


def chain_is_reconnected(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether all machines of the view's chain are eligible and reach each other.

    Their processes may be other ones than those that the view names.
    """
    statuses = [peers.get(replica.voter.address) for replica in view.chain]
    group = tuple(peer for peer in statuses if peer is not None and peer.eligible)
    return len(group) == len(view.chain) and _all_reach_each_other(group)


def chain_is_complete(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether every process in the view's chain participates, as far as is known."""
    return all(
        _participates(view, replica, peers.get(replica.voter.address)) for replica in view.chain
    )


def should_await_joiners(view: View, proposal: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether a proposal should wait for further joiners.

    It should if it only lets machines join a complete chain, while others are about to be able to.
    """
    members = {replica.voter for replica in proposal.chain}
    present = {replica.voter for replica in view.chain}
    if not chain_is_complete(view, peers) or not present < members:
        return False
    return any(
        peer.eligible and not peer.stable and peer.voter not in members for peer in peers.values()
    )


def _needs_no_plan(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether every known machine is in the chain and eligible: the ordinary case, found fast."""
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


def _plan_voters(
    view: View, peers: Mapping[str, PeerStatus], policy: ViewPolicy
) -> tuple[Voter, ...]:
    """The voters of the next view: each joiner replaces one that is gone, or is added."""
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
    """The index of the voter longest without a heartbeat, and for `timeout_s` at least."""
    absences = [
        (peers[voter.address].since_heartbeat_s if voter.address in peers else float("inf"), index)
        for index, voter in enumerate(voters)
    ]
    longest_s, index = max(absences)
    return index if longest_s >= timeout_s else None


def _plan_chain(
    view: View, voters: tuple[Voter, ...], peers: Mapping[str, PeerStatus], policy: ViewPolicy
) -> tuple[ChainReplica, ...] | None:
    """The longest chain of eligible machines that all reach each other, one of them intact (V4).

    Of several the one that keeps most of the present replicas, then those nearest to its head.
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
            if not any(is_intact(view, peer) for peer in group) or not _all_reach_each_other(group):
                continue
            retained_count = sum(peer.voter in index_of for peer in group)
            positions = tuple(-index_of.get(peer.voter, joiner_index) for peer in group)
            rank = (retained_count, size, positions)
            if best is None or rank > best[0]:
                best = rank, group
        if best is not None:
            return _order_chain(view, best[1])
    return None


def _awaits_state_transfer(
    view: View,
    chain: tuple[ChainReplica, ...],
    peers: Mapping[str, PeerStatus],
    policy: ViewPolicy,
    *,
    is_recent: bool,
) -> bool:
    """Whether a chain should wait for a member that still takes over the state (V3)."""
    members = [peers[replica.voter.address] for replica in chain]
    if sum(is_intact(view, peer) for peer in members) > policy.tolerated:
        return False
    return any(
        peer.participating
        and peer.epoch == view.epoch
        and not is_intact(view, peer)
        and (is_recent or _state_can_reach(view, peer, members))
        for peer in members
    )


def _state_can_reach(view: View, lagging: PeerStatus, members: list[PeerStatus]) -> bool:
    """Whether every replica before it in the view's chain is a member that passes the state on."""
    eligible = {peer.voter: peer for peer in members}
    for replica in view.chain:
        if replica.voter == lagging.voter:
            return True
        if not _participates(view, replica, eligible.get(replica.voter)):
            return False
    return False


def _all_reach_each_other(group: tuple[PeerStatus, ...]) -> bool:
    return all(
        one.voter.address in other.reachable and other.voter.address in one.reachable
        for one, other in combinations(group, 2)
    )


def _order_chain(view: View, group: tuple[PeerStatus, ...]) -> tuple[ChainReplica, ...]:
    """The group as a chain, head first.

    Those who were in the chain keep their order, behind an intact head. Whoever is new goes before
    the tail if that isn't the head: the tail, which serves reads, stays the same one.
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
