"""The fleet gateway's data plane: client connections, requests, attempts at hosts, event streams.

What it needs of the rest of the process stands in `interfaces`. Loop callbacks only; no task per
event.
"""
