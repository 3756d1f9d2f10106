"""The control plane: the core's replicated configuration history: state machines and one asyncio driver."""
