"""Mutation tests of the fleet: guards of the code, each with the edit that removes it.

A guard whose removal fails no test is dead or untested. `python -m tests.mutations` removes the
guards one at a time in copies of the tree, runs the fast tests of their package, and prints the
removals that no test caught. Each package of roselink has a module here with its table of guards;
add a new table to MUTATIONS.
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
