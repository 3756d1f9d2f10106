"""The coordination library and the pull service on simulated machines, from one seed.

No program imports this package. `scenarios` has the days that `roselink simulate` runs, in which
`faults` are injected into a `cluster`: `machine`s with a `disk` that loses what was not synced,
connected by a `network`, in the virtual time of a `scheduler`. `clients` and `gateways` call it;
`history` records their calls and checks the record. `model_checker` explores every order of a few
steps of three members, from `initial_states`.
"""
