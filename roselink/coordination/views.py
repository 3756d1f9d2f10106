"""Membership views: what a member knows of its peers, and the view that it would propose next. No
I/O, no clock.

A view lists the voters who decide its successor, and the chain. `ChainReplica.since` of a chain member is
the epoch from which it has been in every chain. A member whose disk holds a state written in epoch
`since` or later is *intact*:

  The state of an intact member of the chain of epoch e, once it has stopped taking part in e, has
  every write that is ever acknowledged in an epoch up to e.

Proof, by induction over epochs. Let the state on the disk of B have been written in s, since <= s
<= e. B took part in s, so its state of s began as that of the head of s, which was intact in the
view before (below), and has all from before s. A write is acknowledged in s only when every member
of the chain has it on its disk, B too, and B had to take part in s for that, so it had it when it
left. For each epoch k between s and e, B is in the chain of k. If B isn't its head, no write is
acknowledged in k before B has put the state of k on its disk, and then the state on its disk were
of k and not of s. If B is its head, B's own state is that with which k begins, and it holds what it
appends. B never takes part in k after it has left k. So nothing is acknowledged in k, ever, that B
lacks.

The head of a proposed view must be intact in the view before; it pushes its state down the chain,
and nothing is acknowledged before the tail has it on its disk. This also holds when a view never
becomes active: its members that were in the chain before stay intact until they take over the new
state. Whoever is not intact can only be synced.

Why a young view waits: a member that is new to the chain is not intact before it has taken over the
state. Were another suspected falsely just then, a shorter chain would rest on fewer intact members
than may be lost, and the loss of those would leave a chain that nobody can head. The state comes
from the head within some hundredths of a second, whether the suspected member lives or not; so for
a while no chain is proposed that has fewer than `tolerated + 1` intact members while one of it
still takes the state over. A member whose disk does not take it in that time counts as lost itself.

Why a chain needs `tolerated + 1` members: what is acknowledged is on every disk of the chain, so it
outlives the loss of any `tolerated` disks. A machine that is away counts as lost until `sync_s`
after its return, and within that time it is back in the chain; so the disks that a shorter chain
lacks are already counted. A chain is never proposed shorter (save that all the voters together are
fewer), also when a majority of the voters could decide it.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations
from typing import TYPE_CHECKING

from roselink.protocol.chain import ChainReplica, View, Voter

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_VOTERS = 9


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What is known of one core machine at the moment of a plan.

    `live`: it hears the planner and the planner hears it. `heard`: the addresses that it says it
    hears. `since_heartbeat_s`: how long nothing came from it. `steady`: it has been live and well for long
    enough to join. `participating`: in the chain of `epoch`.
    """

    voter: Voter
    session: int
    epoch: int
    state_epoch: int
    participating: bool
    disk_ok: bool
    leaving: bool
    live: bool
    steady: bool
    since_heartbeat_s: float
    heard: frozenset[str]

    @property
    def fit(self) -> bool:
        """Whether it can be in a chain."""
        return self.live and self.disk_ok and not self.leaving


@dataclass(frozen=True, slots=True)
class ViewPolicy:
    """Figures for plans. `tolerated`: machines that may be lost at once. Times are seconds.

    A voter that has been silent for `gone_after_s` gives its place to a joiner, and goes without
    one while more than `2 * tolerated + 1` stay: fewer votes of the living then decide. It comes
    back as any joiner does.
    """

    tolerated: int
    gone_after_s: float = 0.45


def first_view(seeds: Iterable[str]) -> View:
    """The view with which a whole new system starts: the seeds, in order."""
    voters = tuple(Voter(address, 0) for address in dict.fromkeys(seeds))
    return View(1, voters, tuple(ChainReplica(voter, 1, 0) for voter in voters))


def majority(view: View) -> int:
    """How many of the view's voters are a majority."""
    return len(view.voters) // 2 + 1


def replica_of(view: View | None, voter: Voter) -> ChainReplica | None:
    """The voter's place in the chain."""
    if view is None:
        return None
    return next((link for link in view.chain if link.voter == voter), None)


def intact(view: View, peer: PeerStatus) -> bool:
    """Whether the peer may be the head of the next view (see the module's proof)."""
    link = replica_of(view, peer.voter)
    return link is not None and peer.state_epoch >= link.since


def plan(
    view: View, peers: Mapping[str, PeerStatus], rules: ViewPolicy, settling: bool = False
) -> View | None:
    """The view that should follow, or None while the present one is the best that can be had.

    `peers` has every known machine by address, the planner too. `settling`: the view is young.
    """
    if _complete(view, peers):
        return None
    voters = _plan_voters(view, peers, rules)
    chain = _plan_chain(view, voters, peers, rules)
    if chain is None or (settling and _takes_state_over(view, chain, peers, rules)):
        return None
    proposal = View(view.epoch + 1, voters, chain)
    same = {link.voter for link in chain} == {link.voter for link in view.chain}
    if voters == view.voters and same and whole(view, peers):
        return None
    return proposal


def reunited(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether all machines of the view's chain are there and hear each other, in whatever
    process.
    """
    found = [peers.get(link.voter.address) for link in view.chain]
    group = tuple(peer for peer in found if peer is not None and peer.fit)
    return len(group) == len(view.chain) and _all_hear(group)


def whole(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether every process that the view has in its chain takes part, as far as is known."""
    return all(_takes_part(view, link, peers.get(link.voter.address)) for link in view.chain)


def waits_for_joiners(view: View, proposal: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether a proposal only lets machines join a whole chain, while others are about to be able
    to join.
    """
    members = {link.voter for link in proposal.chain}
    if not whole(view, peers) or not {link.voter for link in view.chain} < members:
        return False
    return any(
        peer.fit and not peer.steady and peer.voter not in members for peer in peers.values()
    )


def _complete(view: View, peers: Mapping[str, PeerStatus]) -> bool:
    """Whether every known machine is in the chain and well: the ordinary state, told without a
    search.
    """
    if not len(peers) == len(view.chain) == len(view.voters):
        return False
    return (
        all(peer.fit for peer in peers.values())
        and whole(view, peers)
        and _all_hear(tuple(peers.values()))
    )


def _takes_part(view: View, link: ChainReplica, peer: PeerStatus | None) -> bool:
    if peer is None or peer.voter != link.voter or link.session not in (0, peer.session):
        return False
    return peer.participating or peer.epoch < view.epoch


def _plan_voters(
    view: View, peers: Mapping[str, PeerStatus], rules: ViewPolicy
) -> tuple[Voter, ...]:
    """Voters of the next view: joiners come in, each in the place of one that is gone."""
    voters = list(view.voters)
    joiners = [
        peer.voter
        for peer in peers.values()
        if peer.fit and peer.steady and peer.voter not in view.voters
    ]
    for joiner in joiners:
        same = next(
            (index for index, voter in enumerate(voters) if voter.address == joiner.address), None
        )
        if same is not None:
            voters[same] = joiner
            continue
        gone = _longest_silent(voters, peers, rules.gone_after_s)
        if gone is not None:
            voters[gone] = joiner
        elif len(voters) < MAX_VOTERS:
            voters.append(joiner)
    while len(voters) > 2 * rules.tolerated + 1:
        gone = _longest_silent(voters, peers, rules.gone_after_s)
        if gone is None:
            break
        del voters[gone]
    return tuple(voters)


def _longest_silent(
    voters: list[Voter], peers: Mapping[str, PeerStatus], after_s: float
) -> int | None:
    """The place of the voter that has been silent longest, and for `after_s` at least."""
    silent = [
        (peers[voter.address].since_heartbeat_s if voter.address in peers else float("inf"), index)
        for index, voter in enumerate(voters)
    ]
    longest, index = max(silent)
    return index if longest >= after_s else None


def _plan_chain(
    view: View, voters: tuple[Voter, ...], peers: Mapping[str, PeerStatus], rules: ViewPolicy
) -> tuple[ChainReplica, ...] | None:
    """The longest chain of fit machines that all hear each other and of which one is intact."""
    fit = [peer for peer in peers.values() if peer.fit and peer.voter in voters]
    fit = [peer for peer in fit if replica_of(view, peer.voter) is not None or peer.steady]
    least = min(rules.tolerated + 1, len(voters) // 2 + 1)
    best: tuple[tuple[int, int, tuple[int, ...]], tuple[PeerStatus, ...]] | None = None
    place = {link.voter: index for index, link in enumerate(view.chain)}
    fit.sort(key=lambda peer: (place.get(peer.voter, len(place)), peer.voter.address))
    for size in range(len(fit), least - 1, -1):
        for group in combinations(fit, size):
            if not any(intact(view, peer) for peer in group) or not _all_hear(group):
                continue
            stay = sum(peer.voter in place for peer in group)
            order = tuple(-place.get(peer.voter, len(place)) for peer in group)
            worth = (stay, size, order)
            if best is None or worth > best[0]:
                best = worth, group
        if best is not None:
            return _order(view, best[1])
    return None


def _takes_state_over(
    view: View, chain: tuple[ChainReplica, ...], peers: Mapping[str, PeerStatus], rules: ViewPolicy
) -> bool:
    """Whether a chain should wait for a member of it that the present view's head is bringing up to
    date.
    """
    members = [peers[link.voter.address] for link in chain]
    intact_members = sum(intact(view, peer) for peer in members)
    behind = any(
        peer.participating and peer.epoch == view.epoch and not intact(view, peer)
        for peer in members
    )
    return behind and intact_members <= rules.tolerated


def _all_hear(group: tuple[PeerStatus, ...]) -> bool:
    return all(
        left.voter.address in right.heard and right.voter.address in left.heard
        for left, right in combinations(group, 2)
    )


def _order(view: View, group: tuple[PeerStatus, ...]) -> tuple[ChainReplica, ...]:
    """Head first. Those who were in the chain keep their order, behind an intact head.

    Whoever is new goes before the tail if that isn't the head: the tail, which answers, stays the
    same one.
    """
    stayed = [peer for peer in group if replica_of(view, peer.voter) is not None]
    new = [peer for peer in group if replica_of(view, peer.voter) is None]
    able = [peer for peer in stayed if intact(view, peer)]
    behind = [peer for peer in stayed if not intact(view, peer)]
    head, rest = able[0], able[1:]
    ordered = [head, *rest[:-1], *behind, *new, *rest[-1:]]
    links = []
    for peer in ordered:
        link = replica_of(view, peer.voter)
        since = view.epoch + 1 if link is None else link.since
        links.append(ChainReplica(peer.voter, since, peer.session))
    return tuple(links)
