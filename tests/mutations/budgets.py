"""Guards of `roselink/budgets`, with the edit that removes each and the tests that miss it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

BUDGETS = ("tests/budgets",)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "budgets/ownership.py",
        BUDGETS,
        (
            "a request under a stale fencing token is served",
            "        if fencing_token < self.newest_token:\n"
            "            return ReplyStatus.STALE_TOKEN\n",
            "",
        ),
        (
            "an owner forgets that a higher token is in use",
            "        self.record_token(fencing_token)\n"
            "        if fencing_token < self.newest_token:",
            "        if fencing_token < self.fencing_token:",
        ),
        (
            "an owner serves under a token that its roster does not have",
            "if self.is_superseded or not self.is_confirmed(now):",
            "if not self.is_confirmed(now):",
        ),
        ("an owner that is not confirmed serves", " or not self.is_confirmed(now)", ""),
        (
            "whoever receives a request is the owner",
            "if self.owns(key) else ReplyStatus.NOT_OWNER",
            "",
        ),
        (
            "an older roster is taken",
            "if fencing_token <= self.fencing_token:",
            "if fencing_token == self.fencing_token:",
        ),
    ),
    *mutations_of(
        "budgets/quota_owner.py",
        BUDGETS,
        (
            "what is admitted is not counted",
            "                bucket.take(amount)\n                requester",
            "                requester",
        ),
        (
            "an unknown requester needs no report",
            "if requester not in bucket.requesters and request.usage_report is None:",
            "if False:",
        ),
        (
            "nothing is reserved for unreachable requesters",
            "+ overdraft - reserved)",
            "+ overdraft)",
        ),
        ("a term begins full", "START_FRACTION * self._rule.allowance(limit))", "limit.burst)"),
        ("terms never end", "        self._buckets.clear()\n", "        pass\n"),
        (
            "what was admitted locally is not counted",
            "bucket.take(request.admitted_locally - request.returned)",
            "bucket.take(-request.returned)",
        ),
    ),
    *mutations_of(
        "budgets/retry_budget.py",
        BUDGETS,
        (
            "a new term grants the full slack",
            "return self._first_window_limit if age_s < self._window_s else self._limit",
            "return self._limit",
        ),
        (
            "a term grants at its beginning",
            "        if age_s < START_DELAY_S:\n            return 0.0\n",
            "",
        ),
        (
            "granted retries are forgotten",
            "            term.granted_at.append(now)\n",
            "            pass\n",
        ),
    ),
    *mutations_of(
        "budgets/quota_client.py",
        BUDGETS,
        (
            "a token that an owner refused is used again",
            "        if self._ownership.is_superseded:\n",
            "        if False:\n",
        ),
    ),
    *mutations_of(
        "budgets/retry_budget.py",
        BUDGETS,
        (
            "a token that an owner of retries refused is used again",
            " or refused or self._ownership.is_superseded:",
            " or refused:",
        ),
    ),
)
