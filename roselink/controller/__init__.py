"""The control plane: what a core process runs. Gateways import nothing of it.

`node` drives the replicated chain (`roselink.coordination`) on sockets and a disk (`storage`);
`api`, `checking`, `platform`, `pulls` are the operator's, the platform's and the gateways' sides.
"""
