"""A replicated register for a small group of machines.

It combines views agreed on by Paxos, chain replication, and confirmed reads. The modules are state
machines without I/O and without a clock; of roselink they import only `roselink.protocol` and the
base exception. The embedding program provides sockets, disk and time: `docs/coordination.md` shows
how, `roselink.controller.chain_driver` is the controller's driver, and `roselink.simulation` runs
the state machines in memory.

`member` is one machine. It is composed of `chain`, `views`, `acceptor`, `reply_gate`, `proposer`
and `proposal_round`, `heartbeats`, `peer_table`, `disk_health`, `sequencer`, `pending_calls`,
`reads`, `scrub` and `state`. `messages` dispatches received messages; `effects` defines what the
state machines emit.
"""
