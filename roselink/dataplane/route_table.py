"""Lookup of the route, service and tenant of a request; built once per configuration."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from roselink.model.configuration import Configuration, Route, Tenant


class RouteEntry:
    """One route with its traffic split, prepared for the choice of a service."""

    def __init__(self, route: Route) -> None:
        """Prepare the random choice of a service by the weights of the split."""
        self.route = route
        weighted = [entry for entry in route.split if entry.weight > 0] or list(route.split)
        self.services = [entry.service for entry in weighted]
        self._cumulative_weights = list(accumulate(entry.weight for entry in weighted))

    def choose_service(self, generator: random.Random) -> str:
        """Choose a service at random, by the weights of the split."""
        if len(self.services) == 1:
            return self.services[0]
        point = generator.random() * self._cumulative_weights[-1]
        for service, cumulative_weight in zip(self.services, self._cumulative_weights, strict=True):
            if point < cumulative_weight:
                return service
        return self.services[-1]


class RouteTable:
    """The routes and keys of one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes and keys of a configuration."""
        self.configuration = configuration
        self._routes_by_prefix: dict[str, dict[str, RouteEntry]] = {}
        for route in configuration.routes:
            self._routes_by_prefix.setdefault(route.hostname, {})[route.path_prefix] = RouteEntry(
                route
            )
        self._longest_prefix = max(
            (len(route.path_prefix) for route in configuration.routes), default=0
        )
        self._tenants = {key: tenant for tenant in configuration.tenants for key in tenant.api_keys}
        self.requires_keys = bool(configuration.tenants)  # on routes that aren't public

    def find(self, host: str, path: str) -> RouteEntry | None:
        """The route for a `Host` header with the longest prefix of the path, which has no query."""
        prefixes = self._routes_by_prefix.get(hostname(host))
        if prefixes is None:
            return None
        end = path.rfind("/", 0, self._longest_prefix)
        while end >= 0:
            entry = prefixes.get(path[: end + 1])
            if entry is not None:
                return entry
            end = path.rfind("/", 0, end)
        return None

    def tenant(self, key: str | None) -> Tenant | None:
        """The tenant to which an API key belongs."""
        return None if key is None else self._tenants.get(key)


def hostname(host: str) -> str:
    """A `Host` header without its port, in lower case."""
    name, colon, port = host.rpartition(":")
    return (name if colon and (port.isdigit() or not port) else host).strip().lower()
