"""Versions of the list of hosts: which changes lead from one to the newest, and when the whole list
goes.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from roselink.controller.host_versions import MAX_DELTAS, HostVersions
from roselink.model.fleet import Host, HostState
from roselink.protocol.pull import HostChanges, HostList
from roselink.protocol.records import decode, record_number_of

MANY = tuple(f"m{number}" for number in range(20))


HOST = Host("h", "model", "10.9.0.1:8080", "z", "v1", 64, HostState.READY, 0.0, ("m",))


def host(name: str, state: HostState = HostState.READY) -> Host:
    return replace(HOST, id=name, state=state)


def hosts(*names: str) -> tuple[Host, ...]:
    return tuple(host(name) for name in (*names, *MANY))


def published(*lists: tuple[Host, ...]) -> HostVersions:
    made = HostVersions()
    for listed in lists:
        made.publish(listed, lambda version: version + 1)
    return made


def changes(made: HostVersions, base_version: int) -> HostChanges | None:
    data = made.encoded_changes(base_version)
    if data is None:
        return None
    found = decode(record_number_of(HostChanges(0, (), ())), data)
    assert isinstance(found, HostChanges)
    return found


DRAINING = host("a", HostState.DRAINING)


@pytest.mark.parametrize(
    ("lists", "base_version", "gone", "put"),
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
        "new",
        "replaced",
        "draining",
        "two steps",
        "last step",
        "came and went",
        "went and came",
        "same",
    ],
)
def test_changes_from_an_older_version(
    lists: tuple[tuple[Host, ...], ...],
    base_version: int,
    gone: tuple[str, ...],
    put: tuple[Host, ...],
) -> None:
    assert changes(published(*lists), base_version) == HostChanges(base_version, gone, put)


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
        "first",
        "none base_version",
        "unknown",
        "former view",
        "most is new",
        "all gone",
        "no list",
    ],
)
def test_only_the_whole_list_will_do(
    lists: tuple[tuple[Host, ...], ...], base_version: int
) -> None:
    assert changes(published(*lists), base_version) is None


def test_changes_are_known_for_a_bounded_number_of_versions() -> None:
    made = published(*(hosts("ab"[number % 2]) for number in range(MAX_DELTAS + 2)))
    assert made.version == MAX_DELTAS + 2
    assert changes(made, 1) is None
    assert changes(made, 2) is not None


def test_no_list_has_no_encoding() -> None:
    assert published().encoded_list() is None


def test_each_encoding_is_made_once_for_a_version() -> None:
    made = published(hosts("a"), hosts("b"))
    assert made.encoded_list() is made.encoded_list()
    assert made.encoded_changes(1) is made.encoded_changes(1)
    first = made.encoded_list()
    made.publish(hosts("c"), lambda version: version + 1)
    data = made.encoded_list()
    assert data is not None
    assert data != first
    assert decode(record_number_of(HostList(())), data) == HostList(made.hosts or ())
    assert changes(made, 1) == HostChanges(1, ("a", "b"), (host("c"),))
