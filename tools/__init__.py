"""Benchmarks of single mechanisms by their size, which docs/CAPACITY.md cites.

A benchmark is a program (`python -m tools.NAME`) that prints its measurements, lines fitted to
them and a description of the machine. Nothing here is part of the product.
"""
