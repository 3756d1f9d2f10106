"""Budgets that all gateways share: tenants' quotas and the services' retry budgets.

Each budget is a key that one gateway owns (`ownership`). The owner decides (`quota_owner`,
`retry_budget`); the other gateways send it their requests (`quota_client`, `retry_budget`) and
decide locally while it is unreachable (`local_admission`). `budget_service` connects both sides to
the internal protocol. The other modules perform no I/O and take the current time as an argument.
"""
