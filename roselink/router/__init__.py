"""The gateway process of the fleet: assembly, signals, drain, exit."""
