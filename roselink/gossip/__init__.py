"""Gossip between gateways: peer sampling, which spreads addresses of gateways and core members."""
