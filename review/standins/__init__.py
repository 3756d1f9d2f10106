"""Stand-ins for what surrounds the fleet, with the standard library only."""
