"""Guards of the fleet, each with the edit that removes it.

A guard that no test misses is dead or untested. `python -m tests.mutations` removes the guards one
at a time, on copies of the tree, and runs the fast tests of their area; it names those that nothing
caught. One module a package of roselink lists its guards; add a package's table to MUTATIONS here.
"""

from __future__ import annotations

from tests.mutations import (
    budgets,
    controller,
    coordination,
    dataplane,
    distribution,
    http,
    protocol,
    routing,
)
from tests.mutations.mutation import ROOT, GuardNotFoundError, Mutation

__all__ = ["MUTATIONS", "ROOT", "GuardNotFoundError", "Mutation"]

MUTATIONS: tuple[Mutation, ...] = (
    *coordination.MUTATIONS,
    *controller.MUTATIONS,
    *distribution.MUTATIONS,
    *budgets.MUTATIONS,
    *protocol.MUTATIONS,
    *dataplane.MUTATIONS,
    *http.MUTATIONS,
    *routing.MUTATIONS,
)
