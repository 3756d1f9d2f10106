"""The gateway process of the fleet: assembly, signals, exit."""
