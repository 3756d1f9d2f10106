"""The gateway process of the fleet: start-up, signal handling, drain and exit."""
