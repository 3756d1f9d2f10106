"""The directory of hosts takes over only what changed, and stands as if it had taken all of it."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from roselink.dataplane.host_directory import HostDirectory
from roselink.model.configuration import Configuration
from roselink.model.fleet import Host, HostState, Member, Snapshot, VersionVector
from tests.dataplane.harness import document

if TYPE_CHECKING:
    from roselink.dataplane.fleet_host_pool import FleetHost

HOST = Host("h", "model", "10.0.0.1:8000", "z", "v1", 64, HostState.READY, 0.0, ())


class Pool:
    """Notes the hosts that are retired."""

    def __init__(self) -> None:
        self.retired: list[str] = []

    def retire(self, host: FleetHost) -> None:
        host.ready = False
        self.retired.append(host.name)


def directory() -> tuple[HostDirectory, Pool]:
    pool = Pool()
    return HostDirectory(pool), pool  # type: ignore[arg-type]


def snapshot(hosts: tuple[Host, ...], gateways: int = 2, connections: int = 360) -> Snapshot:
    told = document(services=[{"name": "model", "max_connections": connections}])
    roster = tuple(
        Member(f"edge-{number}", f"10.1.0.{number}:7500", 1) for number in range(gateways)
    )
    return Snapshot(VersionVector(), Configuration.from_document(told), hosts, roster)


def state(of: HostDirectory) -> dict[str, tuple[object, ...]]:
    return {
        name: (host.address, host.service, host.connection_limit, host.ready)
        for name, host in of.hosts.items()
    }


@pytest.mark.parametrize(
    ("then", "expected"),
    [
        (HOST, (("10.0.0.1", 8000), "model", 180, True)),
        (replace(HOST), (("10.0.0.1", 8000), "model", 180, True)),
        (replace(HOST, state=HostState.DRAINING), (("10.0.0.1", 8000), "model", 180, False)),
        (replace(HOST, address="10.0.0.2:8000"), (("10.0.0.2", 8000), "model", 180, True)),
        (replace(HOST, service="other"), (("10.0.0.1", 8000), "other", 4, True)),
    ],
)
def test_one_host_after_another_line_of_it(then: Host, expected: tuple[object, ...]) -> None:
    made, _ = directory()
    made.update(snapshot((HOST,)))
    made.update(snapshot((then,)))
    assert state(made) == {"h": expected}


@pytest.mark.parametrize(
    ("gateways", "connections", "most"), [(2, 360, 180), (4, 360, 90), (2, 100, 50)]
)
def test_new_bounds_hold_for_hosts_that_stay(gateways: int, connections: int, most: int) -> None:
    made, _ = directory()
    made.update(snapshot((HOST,)))
    made.update(snapshot((HOST,), gateways, connections))
    assert made.hosts["h"].connection_limit == most


@pytest.mark.parametrize("seed", range(20))
def test_as_if_all_had_been_taken(seed: int) -> None:
    chance = random.Random(seed)
    made, pool = directory()
    lines: dict[str, Host] = {}
    for _ in range(100):
        for _ in range(chance.choice((0, 1, 3))):
            name = f"h{chance.randrange(10)}"
            if chance.random() < 0.3:
                lines.pop(name, None)
                continue
            lines[name] = replace(
                HOST,
                id=name,
                address=f"10.0.0.{chance.choice((1, 1, 1, 2))}:8000",
                service=chance.choice(("model", "model", "other")),
                state=chance.choice((HostState.READY, HostState.DRAINING)),
            )
        before = {name: host for name, host in made.hosts.items() if host.ready}
        pool.retired.clear()
        now = snapshot(
            tuple(lines.values()), chance.choice((2, 2, 2, 5)), chance.choice((360, 360, 100))
        )
        made.update(now)
        fresh, _ = directory()
        fresh.update(now)
        assert state(made) == state(fresh)
        kept = {
            name for name, host in before.items() if made.hosts.get(name) is host and host.ready
        }
        assert before.keys() - kept <= set(pool.retired)
        assert not kept & set(pool.retired)
