"""HTTP/1.1 for both gateways: client connections, listeners and pooled connections to hosts."""
