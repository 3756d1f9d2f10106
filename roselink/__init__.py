"""roselink: a router fleet for language models, and the reverse-proxy gateway that it grew from."""
