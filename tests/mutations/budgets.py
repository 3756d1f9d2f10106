"""Guards of `roselink/budgets`: the edit that removes each, and the tests that must then fail."""

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
            "an owner does not record that a higher token is in use",
            "        self.record_token(fencing_token)\n"
            "        if fencing_token < self.newest_token:",
            "        if fencing_token < self.fencing_token:",
        ),
        (
            "an owner with a superseded roster decides requests",
            "if self.is_superseded or not self.is_confirmed(now):",
            "if not self.is_confirmed(now):",
        ),
        (
            "an owner without a recent confirmation decides requests",
            " or not self.is_confirmed(now)",
            "",
        ),
        (
            "a gateway that is not the owner decides requests",
            "if self.owns(key) else ReplyStatus.NOT_OWNER",
            "",
        ),
        (
            "an older roster is adopted",
            "if fencing_token <= self.fencing_token:",
            "if fencing_token == self.fencing_token:",
        ),
    ),
    *mutations_of(
        "budgets/tenant_bucket.py",
        BUDGETS,
        (
            "a burst that is lowered and restored is granted anew",
            "limit.burst - self.recent_burst.maximum(now)",
            "limit.burst - self.limit.burst",
        ),
        (
            "a successor does not hand on what it reserves for",
            "        return self._unreported_usage() if is_due else 0.0\n",
            "        return 0.0\n",
        ),
    ),
    *mutations_of(
        "budgets/quota_owner.py",
        BUDGETS,
        (
            "a tenant that returns begins with a new bucket",
            "        if removed is None:\n",
            "        if True:\n",
        ),
        (
            "admitted amounts are not taken from the bucket",
            "                bucket.take(amount)\n                requester",
            "                requester",
        ),
        (
            "an unknown requester is decided without a usage report",
            "if requester_id not in bucket.requesters and request.usage_report is None:",
            "if False:",
        ),
        (
            "nothing is reserved for unreachable requesters",
            "+ overdraft - reserved)",
            "+ overdraft)",
        ),
        (
            "a new term begins with the full burst as credit",
            "START_FRACTION * self._rule.allowance(limit))",
            "limit.burst)",
        ),
        ("end_terms keeps the buckets", "        self._buckets.clear()\n", "        pass\n"),
        (
            "local admissions are not taken from the bucket",
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
            "a new term grants without the start delay",
            "        if age_s < START_DELAY_S:\n            return 0.0\n",
            "",
        ),
        (
            "granted retries are not counted",
            "            term.granted_at.append(now)\n",
            "            pass\n",
        ),
    ),
    *mutations_of(
        "budgets/quota_client.py",
        BUDGETS,
        (
            "a cut owner admits at a rate that nobody else knows",
            "            if state.owned_here:\n",
            "            if False:\n",
        ),
        (
            "a quota request uses a token that an owner refused",
            "        if self._ownership.is_superseded:\n",
            "        if False:\n",
        ),
    ),
    *mutations_of(
        "budgets/retry_budget.py",
        BUDGETS,
        (
            "a retry request uses a token that an owner refused",
            " or refused or self._ownership.is_superseded:",
            " or refused:",
        ),
    ),
)
