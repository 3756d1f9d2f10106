"""The control plane: what a core process runs. Gateways import nothing of it."""
