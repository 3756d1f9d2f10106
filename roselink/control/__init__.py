"""The control plane: what a core process runs. Gateways import nothing of it.

`member` is the replicated chain's state machine (with `chain`, `views`, `votes`, `orders`, `reads`), `node`
its driver; `api`, `checking`, `platform`, `pulls` are the operator's, the platform's and the gateways' sides.
"""
