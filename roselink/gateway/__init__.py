"""The gateway process: sockets, timers and the host list around the balancer's decision module."""
