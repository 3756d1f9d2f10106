"""A complete fleet of real processes on loopback in a simulated environment, for demonstration.

`command` runs the lab, `fleet` manages the processes, and `hosts`, `platform`, `operator` and
`clients` simulate their environment. A deployment uses nothing of this package.
"""
