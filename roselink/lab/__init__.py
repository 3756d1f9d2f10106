"""A whole fleet on loopback, for trying and for showing: real processes, stand-ins for all around
them.

Nothing of it runs in a deployment.
"""
