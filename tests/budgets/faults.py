"""Faults of a simulated fleet, drawn from its seed."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.budgets.fleet import Fleet, Gateway

Fault = Callable[[Fleet, random.Random, Gateway, float], None]


def inject_faults(fleet: Fleet, until: float, kinds: list[str]) -> None:
    """Schedule faults of these kinds, one after the other or at once, from 4 s on."""
    chance = random.Random(f"{fleet.seed} trouble")
    at = fleet.now + 4
    while at < until:
        FAULTS[chance.choice(kinds)](fleet, chance, chance.choice(fleet.gateways), at)
        at += chance.uniform(0.5, 6)


def _kill(fleet: Fleet, chance: random.Random, gateway: Gateway, at: float) -> None:
    fleet.at(at, gateway.end)
    fleet.at(at + chance.uniform(0.3, 2), gateway.begin)


def _freeze(fleet: Fleet, chance: random.Random, gateway: Gateway, at: float) -> None:
    def freeze() -> None:
        gateway.frozen_until = fleet.now + length_s

    length_s = chance.uniform(0.3, 6)
    fleet.at(at, freeze)


def _stop(fleet: Fleet, chance: random.Random, gateway: Gateway, at: float) -> None:
    fleet.at(at, gateway.leave)
    fleet.at(at + 1, gateway.end)
    fleet.at(at + 2, gateway.begin)


def _kill_all(fleet: Fleet, chance: random.Random, gateway: Gateway, at: float) -> None:
    for each in fleet.gateways:
        _kill(fleet, chance, each, at)


def _cut(fleet: Fleet, chance: random.Random, pairs: list[frozenset[int]], at: float) -> None:
    fleet.at(at, lambda: fleet.cuts.update(pairs))
    fleet.at(at + chance.uniform(0.3, 6), lambda: fleet.cuts.difference_update(pairs))


def _isolate(fleet: Fleet, chance: random.Random, gateway: Gateway, at: float) -> None:
    others = [index for index in range(-1, fleet.size) if index != gateway.index]
    _cut(fleet, chance, [frozenset((gateway.index, other)) for other in others], at)


def _cut_core(fleet: Fleet, chance: random.Random, gateway: Gateway, at: float) -> None:
    _cut(fleet, chance, [frozenset((index, -1)) for index in range(fleet.size)], at)


def _cut_link(fleet: Fleet, chance: random.Random, gateway: Gateway, at: float) -> None:
    other = chance.choice([each for each in fleet.gateways if each is not gateway])
    _cut(fleet, chance, [frozenset((gateway.index, other.index))], at)


def _partition(fleet: Fleet, chance: random.Random, gateway: Gateway, at: float) -> None:
    half = fleet.size // 2
    pairs = [frozenset((one, other)) for one in range(half) for other in range(half, fleet.size)]
    if chance.random() < 0.5:
        pairs += [frozenset((one, -1)) for one in range(half)]
    _cut(fleet, chance, pairs, at)


FAULTS: dict[str, Fault] = {
    "kill": _kill,
    "freeze": _freeze,
    "stop": _stop,
    "kill all": _kill_all,
    "isolate": _isolate,
    "cut core": _cut_core,
    "link": _cut_link,
    "partition": _partition,
}
