"""A whole fleet of real processes on loopback, with simulated surroundings, for demonstration.

`command` runs it, `fleet` has the processes, `hosts`, `platform`, `operator` and `clients` their
surroundings. Nothing of it runs in a deployment.
"""
