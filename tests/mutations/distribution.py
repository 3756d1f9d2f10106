"""Guards of `roselink/distribution`: the edit removing each, and the tests that must then fail."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

DISTRIBUTION = ("tests/distribution", "tests/simulation/test_scenarios.py")

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "distribution/pull_state_machine.py",
        DISTRIBUTION,
        ("a late reply to an earlier pull is applied", " or self._pending.call != call", ""),
        (
            "an older configuration is applied",
            "newest.configuration > current.configuration and",
            "newest.configuration != current.configuration and",
        ),
        (
            "an older host list is applied",
            "newest.hosts > current.hosts and",
            "newest.hosts != current.hosts and",
        ),
        (
            "an older roster is applied",
            "newest.roster > current.roster and",
            "newest.roster != current.roster and",
        ),
        (
            "an unconfirmed reply is applied",
            "if reply is None or not reply.confirmed:",
            "if reply is None:",
        ),
        (
            "a reply that lacks the newer configuration confirms the snapshot",
            "if newest.configuration == current.configuration:",
            "if True:",
        ),
        (
            "the key lease starts when the reply is received",
            "effects = self._apply_reply(reply, sent_at)",
            "effects = self._apply_reply(reply, now)",
        ),
        (
            "the key lease lasts longer than the revocation time",
            "self.confirmed_at + revoke_s - KEY_LEASE_MARGIN_S",
            "self.confirmed_at + 2 * revoke_s",
        ),
    ),
    *mutations_of(
        "distribution/host_changes.py",
        DISTRIBUTION,
        (
            "host changes based on another version are applied",
            "if changes.base == hosts_version else None",
            "",
        ),
    ),
)
