"""Reads the lists of hosts that discovery sends."""

from __future__ import annotations

import hashlib
import ipaddress
import math
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from roselink.balancer.interface import Server, State
from roselink.gateway.config import read_address
from roselink.gateway.exceptions import ConfigError, MalformedListError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from roselink.gateway.config import Config
    from roselink.http.address import Address

STATES = {"up": State.READY, "draining": State.DRAINING, "removed": State.GONE}
MICROSECONDS_PER_MS = 1000
# The decider's numbers of a kind that the settings do not name, and of a host with no zone.
UNKNOWN_KIND = -1
NO_ZONE = -1
# The first number of zones that the settings do not name; the others are below it.
UNKNOWN_ZONE = -2


def server_number(name: str) -> int:
    """The decider's number of a host: the same at every gateway, after a restart too."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest())


@dataclass(frozen=True, slots=True)
class HostList:
    """A list of hosts, full or of changes.

    Attributes:
        generation: Discovery's version of it.
        servers: The hosts as the decider gets them.
        names: The name of each by its number.
        addresses: The address of each that is not gone, by its number.
    """

    generation: int
    servers: tuple[Server, ...]
    names: dict[int, str]
    addresses: dict[int, Address]


class HostListReader:
    """Reads lists by the names that the settings give to zones and kinds of machine."""

    def __init__(self, config: Config) -> None:
        """Zones and kinds are numbered in the order of the settings."""
        self._zones = {name: index for index, name in enumerate(config.zones)}
        self._kinds = {name: index for index, name in enumerate(config.kinds)}

    def read(self, data: Mapping[str, Any]) -> HostList:
        """One list.

        Raises:
            MalformedListError: A field or an entry is malformed; nothing of the list is taken.
        """
        generation = data.get("generation")
        entries = data.get("instances")
        if type(generation) is not int or generation < 0 or not isinstance(entries, list):
            raise MalformedListError(reason="generation or instances missing or unusable")
        servers: list[Server] = []
        names: dict[int, str] = {}
        addresses: dict[int, Address] = {}
        for entry in entries:
            server, name, address = self._read_entry(entry)
            servers.append(server)
            names[server.id] = name
            if address is not None:
                addresses[server.id] = address
        return HostList(generation, tuple(servers), names, addresses)

    def _read_entry(self, entry: Mapping[str, Any]) -> tuple[Server, str, Address | None]:
        """One entry: the host, its name, and its address unless it is gone."""
        try:
            name = entry["instanceId"]
            state = STATES[entry["lifecycle"]]
            _check_name(name)
            kind_name: Any = entry.get("machineType")
            address = None if state is State.GONE else _address(entry)
            server = Server(
                id=server_number(name),
                state=state,
                zone=self._zone(entry.get("zone")),
                cell=_non_negative_integer(entry, "cell"),
                kind=self._kinds.get(kind_name, UNKNOWN_KIND),
                hint=_weight(entry),
                started_us=_non_negative_integer(entry, "startedAtMs") * MICROSECONDS_PER_MS,
            )
        except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
            raise MalformedListError(reason=f"an entry cannot be read: {error!r}") from None
        return server, name, address

    def _zone(self, name: str | None) -> int:
        """The decider's number of a zone.

        Those that the settings do not name differ from one another too: as one zone their hosts
        would count as dropping each other's repeats.
        """
        if name is None:
            return NO_ZONE
        if not isinstance(name, str):
            raise _invalid_value("zone", "a name", name)
        return self._zones.get(name, UNKNOWN_ZONE - zlib.crc32(name.encode()))


def _invalid_value(key: str, needed: str, value: Any) -> ValueError:
    return ValueError(f"{key}: needs {needed}, not {value!r}")


def _check_name(name: Any) -> None:
    if not isinstance(name, str) or not name:
        problem = "instanceId: needs a name"
        raise ValueError(problem)


def _address(entry: Mapping[str, Any]) -> Address:
    address = read_address(entry.get("hostPort"), "hostPort")
    if not (ipaddress.IPv4Address(address[0]) and address[1]):
        problem = "hostPort: needs a port above 0"
        raise ValueError(problem)
    return address


def _non_negative_integer(entry: Mapping[str, Any], key: str) -> int:
    value = entry.get(key) or 0
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or value < 0:
        raise _invalid_value(key, "a whole number from 0", value)
    return value


def _weight(entry: Mapping[str, Any]) -> float:
    value = entry.get("weight")
    if value is None:
        return 1.0
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise _invalid_value("weight", "a number from 0", value)
    return float(value) or 1.0
