"""The real gateway round the decision module: sockets in and out, no decisions of its own."""
