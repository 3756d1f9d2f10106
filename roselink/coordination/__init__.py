"""A replicated register for a small group of machines: agreed views, chain replication, confirmed
reads.

State machines without I/O and without a clock; they import nothing of roselink but
`roselink.protocol`. The embedding program owns sockets, disk and time: `docs/coordination.md` shows
how, `roselink.controller.chain_driver` is the driver that the controller uses, and `roselink.simulation` runs
them in memory.

`member` is the whole of one machine; its parts are `chain`, `views`, `votes`, `ballots`,
`proposing`, `presence`, `peering`, `orders`, `reads` and `state`. `messages` takes records in,
`effects` go out.
"""
