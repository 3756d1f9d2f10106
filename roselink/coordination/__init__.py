"""A replicated register for a small group of machines.

Agreed views (Paxos), chain replication, and confirmed reads. State machines without I/O and without
a clock; they import nothing of roselink but `roselink.protocol` and the base exception. The
embedding program owns sockets, disk and time: `docs/coordination.md` shows how,
`roselink.controller.chain_driver` is the driver that the controller uses, and `roselink.simulation`
runs them in memory.

`member` is one machine. Its parts: `chain`, `views`, `acceptor`, `reply_gate`, `proposer` and
`proposal_round`, `heartbeats`, `peer_table`, `disk_health`, `sequencer`, `pending_calls`, `reads`
and `state`. `messages` dispatches what is received, `effects` are emitted.
"""
