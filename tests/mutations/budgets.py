"""Guards of `roselink/budgets`, with the edit that removes each and the tests that miss it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

BUDGETS = ("tests/budgets",)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "budgets/ownership.py",
        BUDGETS,
        (
            "an ask under an old token is served",
            "        if token < self.token:\n            return ReplyStatus.STALE_TOKEN\n",
            "",
        ),
        ("an owner that was not confirmed serves", " or not self.fresh(now)", ""),
        ("whoever is asked is the owner", "if self.owns(key) else ReplyStatus.NOT_OWNER", ""),
        ("an older roster is taken", "if token <= self.token:", "if token == self.token:"),
    ),
    *mutations_of(
        "budgets/quota_owner.py",
        BUDGETS,
        (
            "what is admitted is not counted",
            "                bucket.take(amount)\n                record",
            "                record",
        ),
        (
            "a stranger needs no report",
            "if asker not in bucket.askers and ask.report is None:",
            "if False:",
        ),
        ("nothing is held back for the silent", "+ grace - held_back)", "+ grace)"),
        ("a term begins full", "START_FRACTION * self._rule.allowance(limit))", "limit.burst)"),
        ("terms never end", "        self._buckets.clear()\n", "        pass\n"),
        (
            "what was admitted alone is not counted",
            "bucket.take(ask.alone - ask.returned)",
            "bucket.take(-ask.returned)",
        ),
    ),
    *mutations_of(
        "budgets/retry_budget.py",
        BUDGETS,
        (
            "a new term lends the whole slack",
            "return self._first if age_s < self._window_s else self._most",
            "return self._most",
        ),
        (
            "a term lends at its beginning",
            "        if age_s < START_DELAY_S:\n            return 0.0\n",
            "",
        ),
        ("lent repeats are forgotten", "            term.lent.append(now)\n", "            pass\n"),
    ),
)
