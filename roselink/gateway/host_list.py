"""Parses the host lists that discovery sends."""

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
# Indices for a machine type that the settings do not name, and for a host without a zone.
UNKNOWN_KIND = -1
NO_ZONE = -1
# Highest number of a zone that the settings do not name; further ones get lower numbers.
UNKNOWN_ZONE = -2


def server_number(name: str) -> int:
    """Numeric id of a host for the balancer, the same at every gateway and after a restart."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest())


@dataclass(frozen=True, slots=True)
class HostList:
    """A parsed host list, full or of changes.

    Attributes:
        generation: Version that discovery gives the list.
        servers: The hosts in the form that the balancer takes.
        names: Host names by host number.
        addresses: Addresses by host number, of hosts that are not gone.
    """

    generation: int
    servers: tuple[Server, ...]
    names: dict[int, str]
    addresses: dict[int, Address]


class HostListReader:
    """Parses lists, mapping names of zones and machine types to the indices of the settings."""

    def __init__(self, config: Config) -> None:
        """Numbers zones and machine types in the order of the settings."""
        self._zones = {name: index for index, name in enumerate(config.zones)}
        self._kinds = {name: index for index, name in enumerate(config.kinds)}

    def read(self, data: Mapping[str, Any]) -> HostList:
        """Parses one list.

        Raises:
            MalformedListError: A field or an entry is malformed; the list is rejected as a unit.
        """
        generation = data.get("generation")
        entries = data.get("instances")
        if type(generation) is not int or generation < 0 or not isinstance(entries, list):
            raise MalformedListError(reason="generation or instances: missing or invalid")
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
        """Parses one entry into the host, its name, and its address unless it is gone."""
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
            raise MalformedListError(reason=f"malformed entry: {error!r}") from None
        return server, name, address

    def _zone(self, name: str | None) -> int:
        """Number of a zone for the balancer.

        Each zone that the settings do not name gets a number of its own: sharing one would make
        their hosts count as a group that detects each other's duplicate requests.
        """
        if name is None:
            return NO_ZONE
        if not isinstance(name, str):
            raise _invalid_value("zone", "a string", name)
        return self._zones.get(name, UNKNOWN_ZONE - zlib.crc32(name.encode()))


def _invalid_value(key: str, needed: str, value: Any) -> ValueError:
    return ValueError(f"{key}: expected {needed}, got {value!r}")


def _check_name(name: Any) -> None:
    if not isinstance(name, str) or not name:
        problem = "instanceId: expected a non-empty string"
        raise ValueError(problem)


def _address(entry: Mapping[str, Any]) -> Address:
    address = read_address(entry.get("hostPort"), "hostPort")
    if not (ipaddress.IPv4Address(address[0]) and address[1]):
        problem = "hostPort: expected a port above 0"
        raise ValueError(problem)
    return address


def _non_negative_integer(entry: Mapping[str, Any], key: str) -> int:
    value = entry.get(key) or 0
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or value < 0:
        raise _invalid_value(key, "a non-negative integer", value)
    return value


def _weight(entry: Mapping[str, Any]) -> float:
    value = entry.get("weight")
    if value is None:
        return 1.0
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise _invalid_value("weight", "a non-negative finite number", value)
    return float(value) or 1.0
