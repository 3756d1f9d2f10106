"""Tenant quotas: this balancer's share of each, as a token bucket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.routing.token_bucket import TokenBucket

if TYPE_CHECKING:
    from roselink.balancer.state import BalancerState


class TenantQuotas:
    """Token buckets with an even share of each tenant's quota."""

    def __init__(self, state: BalancerState) -> None:
        """Fills each bucket with one second of its tenant's full quota."""
        self._state = state
        self._buckets = [TokenBucket(quota) for quota in state.settings.tenant_quotas_per_s]

    def take(self, tenant: int) -> bool:
        """Counts one request; returns whether it is within the tenant's share.

        A tenant that is not in the settings has no share, unless no tenant has a quota.
        """
        if not 0 <= tenant < len(self._buckets):
            return not self._buckets
        settings = self._state.settings
        rate_per_s = settings.tenant_quotas_per_s[tenant] / settings.balancers
        bucket = self._buckets[tenant]
        now_us = self._state.now_us
        bucket.earn(rate_per_s / 1e6 * (now_us - bucket.filled_us), max(1.0, rate_per_s))
        bucket.filled_us = now_us
        return bucket.spend()
