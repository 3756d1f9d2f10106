"""What the live gateways share: roles sharded over the roster, quotas, the shared slack of
repeats.
"""
