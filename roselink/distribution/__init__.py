"""How the newest configuration, hosts and roster come to a gateway: pulls by version vector."""
