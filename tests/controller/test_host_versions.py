"""Versions of the host list: changes from an older version, and when the complete list is sent."""

from __future__ import annotations

from dataclasses import replace

import pytest

from roselink.controller.host_versions import MAX_DELTAS, HostVersions
from roselink.model.fleet import Host, HostState
from roselink.protocol.pull import HostChanges, HostList
from roselink.protocol.records import decode, record_number_of

OTHER_HOST_IDS = tuple(f"m{number}" for number in range(20))


HOST = Host("h", "model", "10.9.0.1:8080", "z", "v1", 64, HostState.READY, 0.0, ("m",))


def host(host_id: str, state: HostState = HostState.READY) -> Host:
    return replace(HOST, id=host_id, state=state)


def hosts(*names: str) -> tuple[Host, ...]:
    return tuple(host(host_id) for host_id in (*names, *OTHER_HOST_IDS))


def publish_all(*lists: tuple[Host, ...]) -> HostVersions:
    versions = HostVersions()
    for host_list in lists:
        versions.publish(host_list, lambda version: version + 1)
    return versions


def decode_changes(versions: HostVersions, base_version: int) -> HostChanges | None:
    data = versions.encoded_changes(base_version)
    if data is None:
        return None
    decoded = decode(record_number_of(HostChanges(0, (), ())), data)
    assert isinstance(decoded, HostChanges)
    return decoded


DRAINING = host("a", HostState.DRAINING)


@pytest.mark.parametrize(
    ("lists", "base_version", "removed", "updated"),
    [
        ((hosts("a"), hosts("a", "b")), 1, (), (host("b"),)),
        ((hosts("a"), hosts("b")), 1, ("a",), (host("b"),)),
        ((hosts("a"), (DRAINING, *hosts())), 1, (), (DRAINING,)),
        ((hosts("a"), hosts("a", "b"), hosts("b")), 1, ("a",), (host("b"),)),
        ((hosts("a"), hosts("a", "b"), hosts("b")), 2, ("a",), ()),
        ((hosts("a"), hosts("a", "b"), hosts("a")), 1, ("b",), ()),
        ((hosts("a"), hosts(), hosts("a")), 1, (), (host("a"),)),
        ((hosts("a"), hosts("a"), hosts()), 1, ("a",), ()),
    ],
    ids=[
        "added",
        "replaced",
        "draining",
        "two versions",
        "last version",
        "added then removed",
        "removed then added",
        "unchanged",
    ],
)
def test_changes_from_an_older_version(
    lists: tuple[tuple[Host, ...], ...],
    base_version: int,
    removed: tuple[str, ...],
    updated: tuple[Host, ...],
) -> None:
    assert decode_changes(publish_all(*lists), base_version) == HostChanges(
        base_version, removed, updated
    )


@pytest.mark.parametrize(
    ("lists", "base_version"),
    [
        ((hosts("a"),), 0),
        ((hosts("a"), hosts("b")), 0),
        ((hosts("a"), hosts("b")), 7),
        ((hosts("a"), hosts("b")), -1),
        (((host("a"), host("b")), (host("c"), host("d"))), 1),
        ((hosts("a"), ()), 1),
        ((), 0),
    ],
    ids=[
        "one version",
        "before the first version",
        "unknown version",
        "former view",
        "most hosts replaced",
        "all hosts removed",
        "no list",
    ],
)
def test_no_changes_for_an_unknown_version_or_a_large_difference(
    lists: tuple[tuple[Host, ...], ...], base_version: int
) -> None:
    assert decode_changes(publish_all(*lists), base_version) is None


def test_changes_are_known_for_a_bounded_number_of_versions() -> None:
    versions = publish_all(*(hosts("ab"[number % 2]) for number in range(MAX_DELTAS + 2)))
    assert versions.version == MAX_DELTAS + 2
    assert decode_changes(versions, 1) is None
    assert decode_changes(versions, 2) is not None


def test_no_encoding_before_the_first_list() -> None:
    assert publish_all().encoded_list() is None


def test_encodings_are_cached_per_version() -> None:
    versions = publish_all(hosts("a"), hosts("b"))
    assert versions.encoded_list() is versions.encoded_list()
    assert versions.encoded_changes(1) is versions.encoded_changes(1)
    former_encoding = versions.encoded_list()
    versions.publish(hosts("c"), lambda version: version + 1)
    data = versions.encoded_list()
    assert data is not None
    assert data != former_encoding
    assert decode(record_number_of(HostList(())), data) == HostList(versions.hosts or ())
    assert decode_changes(versions, 1) == HostChanges(1, ("a", "b"), (host("c"),))
