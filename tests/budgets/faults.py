"""Random faults of a simulated fleet, determined by its seed."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.budgets.fleet import Fleet, Gateway

Fault = Callable[[Fleet, random.Random, Gateway, float], None]


def inject_faults(fleet: Fleet, until: float, kinds: list[str]) -> None:
    """Schedule random faults of these kinds, which may overlap, from 4 s on."""
    rng = random.Random(f"{fleet.seed} trouble")
    at = fleet.now + 4
    while at < until:
        FAULTS[rng.choice(kinds)](fleet, rng, rng.choice(fleet.gateways), at)
        at += rng.uniform(0.5, 6)


def _kill(fleet: Fleet, rng: random.Random, gateway: Gateway, at: float) -> None:
    fleet.at(at, gateway.crash)
    fleet.at(at + rng.uniform(0.3, 2), gateway.start)


def _freeze(fleet: Fleet, rng: random.Random, gateway: Gateway, at: float) -> None:
    def freeze() -> None:
        gateway.frozen_until = fleet.now + duration_s

    duration_s = rng.uniform(0.3, 6)
    fleet.at(at, freeze)


def _stop(fleet: Fleet, rng: random.Random, gateway: Gateway, at: float) -> None:
    fleet.at(at, gateway.drain)
    fleet.at(at + 1, gateway.crash)
    fleet.at(at + 2, gateway.start)


def _kill_all(fleet: Fleet, rng: random.Random, gateway: Gateway, at: float) -> None:
    for each in fleet.gateways:
        _kill(fleet, rng, each, at)


def _block_links(fleet: Fleet, rng: random.Random, pairs: list[frozenset[int]], at: float) -> None:
    fleet.at(at, lambda: fleet.blocked_links.update(pairs))
    fleet.at(at + rng.uniform(0.3, 6), lambda: fleet.blocked_links.difference_update(pairs))


def _isolate(fleet: Fleet, rng: random.Random, gateway: Gateway, at: float) -> None:
    others = [index for index in range(-1, fleet.size) if index != gateway.index]
    _block_links(fleet, rng, [frozenset((gateway.index, other)) for other in others], at)


def _block_core_links(fleet: Fleet, rng: random.Random, gateway: Gateway, at: float) -> None:
    _block_links(fleet, rng, [frozenset((index, -1)) for index in range(fleet.size)], at)


def _block_link(fleet: Fleet, rng: random.Random, gateway: Gateway, at: float) -> None:
    other = rng.choice([each for each in fleet.gateways if each is not gateway])
    _block_links(fleet, rng, [frozenset((gateway.index, other.index))], at)


def _partition(fleet: Fleet, rng: random.Random, gateway: Gateway, at: float) -> None:
    half = fleet.size // 2
    pairs = [frozenset((one, other)) for one in range(half) for other in range(half, fleet.size)]
    if rng.random() < 0.5:
        pairs += [frozenset((one, -1)) for one in range(half)]
    _block_links(fleet, rng, pairs, at)


FAULTS: dict[str, Fault] = {
    "kill": _kill,
    "freeze": _freeze,
    "stop": _stop,
    "kill all": _kill_all,
    "isolate": _isolate,
    "cut core": _block_core_links,
    "link": _block_link,
    "partition": _partition,
}
