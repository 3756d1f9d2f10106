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
        ("attempts without end", "gone_to < self.policy.max_attempts and", ""),
        (
            "half an answer is begun again",
            "self.policy.repeatable and (self.policy.streaming or not self.progressed)",
            "self.policy.repeatable",
        ),
    ),
    *mutations_of(
        "routing/fleet_decider.py",
        ROUTING,
        (
            "repeats draw on no budget",
            "elif self._budget(request.facts.service).spend(self._now):",
            "elif True:",
        ),
        ("a no of the budget is passed over", "        if event.allowed:\n", "        if True:\n"),
        (
            "sent once its time is up",
            "        if self._now >= request.facts.give_up_at:\n"
            "            return self._finish(request)\n",
            "",
        ),
    ),
)
