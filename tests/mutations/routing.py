"""Guards of `roselink/routing`, with the edit that removes each and the tests that miss it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

ROUTING = ("tests/routing",)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "routing/classifier.py",
        ROUTING,
        ("what may have run is tried again", "outcome in NEVER_RAN or repeatable", "True"),
        (
            "a relayed failure is tried again",
            "outcome is Outcome.SUCCESS or relayed",
            "outcome is Outcome.SUCCESS",
        ),
    ),
    *mutations_of(
        "routing/request_state.py",
        ROUTING,
        ("attempts without end", "sent < self.policy.max_attempts and", ""),
        (
            "a response that has begun is started again",
            "self.policy.repeatable and (self.policy.streaming or not self.progressed)",
            "self.policy.repeatable",
        ),
    ),
    *mutations_of(
        "routing/request_lifecycle.py",
        ROUTING,
        (
            "retries draw on no budget",
            "elif self._state.budgets.of(service).spend(self.now):",
            "elif True:",
        ),
        (
            "sent once its time is up",
            "        if self.now >= request.facts.deadline:\n"
            "            self.finish(request)\n"
            "            return\n",
            "",
        ),
    ),
    *mutations_of(
        "routing/fleet_decider.py",
        ROUTING,
        ("a no of the budget is passed over", "        if event.allowed:\n", "        if True:\n"),
    ),
)
