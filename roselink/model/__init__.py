"""Types that the fleet's packages share: configuration, hosts, process settings, versions.

Types only: no clock, no decisions, and no I/O but reading the settings file. Of the rest of
roselink only the base of its exceptions is imported.
"""
