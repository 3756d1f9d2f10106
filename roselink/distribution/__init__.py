"""Distribution of configuration, hosts and roster to gateways by pulls with a version vector."""
