"""Tests of the fleet gateway's routing decisions."""
