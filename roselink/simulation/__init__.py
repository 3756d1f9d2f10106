"""Deterministic simulation of the coordination library and the pull service, driven by one seed.

Only `roselink simulate` imports this package. `scenarios` has the scenarios that it runs: `faults`
are injected into a `cluster`, which consists of `machine`s, each with a `disk` that loses unsynced
writes, connected by a `network`, in the virtual time of a `scheduler`. `clients` and `gateways`
call the cluster; `history` records and checks their calls, and `linearizability` searches for a
valid order of them. `model_checker` explores every order of a few steps of three members, starting
from `initial_states`.
"""
