"""The control plane: what a core process runs. Gateways import none of it.

Each concern is a state machine without I/O and a driver that gives it sockets, a clock and a disk:

- the replicated chain (`roselink.coordination`): `chain_driver`, on the disk of `storage`; the rest
  of the process sees it as `chain_interface.ReplicatedChain`;
- the gateways' pulls: `pull_server` (with `gateway_roster`, `pull_replies`, `host_versions`,
  `payoffs`, and the effects of `pull_effects`), and `pull_driver`;
- the platform's list of hosts: `host_list_reader`, with `host_list_client`;
- the operator's HTTP interface: `api`, with `validation`, `field_validators` and `updates`.

`app` assembles them; `startup_log` and `logging_setup` write the process's log.
"""
