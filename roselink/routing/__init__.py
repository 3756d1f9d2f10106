"""The decisions of a gateway of the fleet: host choice, retries, hedges and budgets. No I/O."""
