"""Gossip between gateways: peer sampling, by which they learn of others and of core machines."""
