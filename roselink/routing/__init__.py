"""Routing decisions of a fleet gateway: host choice, retries, hedges and budgets. No I/O."""
