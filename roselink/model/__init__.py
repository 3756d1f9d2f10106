"""What the fleet's parts share: the typed configuration, hosts, settings of a process, versions.

Types only: no I/O, no clock, no decisions. Imports nothing else of roselink but the record codec.
"""
