"""The host directory applies only changes, with the same result as a full update."""

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


class RecordingPool:
    """Connection pool that records retired hosts."""

    def __init__(self) -> None:
        self.retired: list[str] = []

    def retire(self, host: FleetHost) -> None:
        host.ready = False
        self.retired.append(host.name)


def new_directory() -> tuple[HostDirectory, RecordingPool]:
    pool = RecordingPool()
    return HostDirectory(pool), pool  # type: ignore[arg-type]


def snapshot(hosts: tuple[Host, ...], gateways: int = 2, connections: int = 360) -> Snapshot:
    configuration = document(services=[{"name": "model", "max_connections": connections}])
    roster = tuple(
        Member(f"edge-{number}", f"10.1.0.{number}:7500", 1) for number in range(gateways)
    )
    return Snapshot(VersionVector(), Configuration.from_document(configuration), hosts, roster)


def connection_settings(directory: HostDirectory) -> dict[str, tuple[object, ...]]:
    return {
        name: (host.address, host.service, host.connection_limit, host.ready)
        for name, host in directory.hosts.items()
    }


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        (HOST, (("10.0.0.1", 8000), "model", 180, True)),
        (replace(HOST), (("10.0.0.1", 8000), "model", 180, True)),
        (replace(HOST, state=HostState.DRAINING), (("10.0.0.1", 8000), "model", 180, False)),
        (replace(HOST, address="10.0.0.2:8000"), (("10.0.0.2", 8000), "model", 180, True)),
        (replace(HOST, service="other"), (("10.0.0.1", 8000), "other", 4, True)),
    ],
)
def test_update_applies_changed_host_entry(changed: Host, expected: tuple[object, ...]) -> None:
    host_directory, _ = new_directory()
    host_directory.update(snapshot((HOST,)))
    host_directory.update(snapshot((changed,)))
    assert connection_settings(host_directory) == {"h": expected}


@pytest.mark.parametrize(
    ("gateways", "connections", "maximum"), [(2, 360, 180), (4, 360, 90), (2, 100, 50)]
)
def test_changed_connection_limit_applies_to_existing_hosts(
    gateways: int, connections: int, maximum: int
) -> None:
    host_directory, _ = new_directory()
    host_directory.update(snapshot((HOST,)))
    host_directory.update(snapshot((HOST,), gateways, connections))
    assert host_directory.hosts["h"].connection_limit == maximum


@pytest.mark.parametrize("seed", range(20))
def test_incremental_update_equals_full_update(seed: int) -> None:
    rng = random.Random(seed)
    host_directory, pool = new_directory()
    entries: dict[str, Host] = {}
    for _ in range(100):
        for _ in range(rng.choice((0, 1, 3))):
            name = f"h{rng.randrange(10)}"
            if rng.random() < 0.3:
                entries.pop(name, None)
                continue
            entries[name] = replace(
                HOST,
                id=name,
                address=f"10.0.0.{rng.choice((1, 1, 1, 2))}:8000",
                service=rng.choice(("model", "model", "other")),
                state=rng.choice((HostState.READY, HostState.DRAINING)),
            )
        before = {name: host for name, host in host_directory.hosts.items() if host.ready}
        pool.retired.clear()
        latest = snapshot(
            tuple(entries.values()), rng.choice((2, 2, 2, 5)), rng.choice((360, 360, 100))
        )
        host_directory.update(latest)
        rebuilt, _ = new_directory()
        rebuilt.update(latest)
        assert connection_settings(host_directory) == connection_settings(rebuilt)
        kept = {
            name
            for name, host in before.items()
            if host_directory.hosts.get(name) is host and host.ready
        }
        assert before.keys() - kept <= set(pool.retired)
        assert not kept & set(pool.retired)
