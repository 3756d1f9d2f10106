"""Measured costs of single mechanisms, each against its size: the figures behind docs/CAPACITY.md.

Each module is a program (`python -m tools.NAME`) that prints its figures, a line fitted
through them and the machine. Nothing here is part of the product.
"""
