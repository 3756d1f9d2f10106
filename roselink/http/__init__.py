"""What both gateways use of HTTP/1.1: client connections, listeners, connections to hosts."""
