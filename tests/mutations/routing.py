"""Guards of `roselink/routing`, each with an edit that removes it and the tests that detect it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

ROUTING = ("tests/routing",)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "routing/classifier.py",
        ROUTING,
        (
            "a request that may have run is retried though not repeatable",
            "outcome in NEVER_RAN or repeatable",
            "True",
        ),
        (
            "a relayed error response is retried",
            "outcome is Outcome.SUCCESS or relayed",
            "outcome is Outcome.SUCCESS",
        ),
    ),
    *mutations_of(
        "routing/request_state.py",
        ROUTING,
        ("the number of attempts is not limited", "sent < self.policy.max_attempts and", ""),
        (
            "a partly relayed response that is not a stream is retried",
            "self.policy.repeatable and (self.policy.streaming or not self.progressed)",
            "self.policy.repeatable",
        ),
    ),
    *mutations_of(
        "routing/request_lifecycle.py",
        ROUTING,
        (
            "retries do not need a retry budget token",
            "elif self._state.budgets.of(service).spend(self.now):",
            "elif True:",
        ),
        (
            "a retry is sent after the deadline",
            "        if self.now >= request.facts.deadline:\n"
            "            self.finish(request)\n"
            "            return\n",
            "",
        ),
    ),
    *mutations_of(
        "routing/fleet_decider.py",
        ROUTING,
        ("a denied shared budget is ignored", "        if event.allowed:\n", "        if True:\n"),
    ),
)
