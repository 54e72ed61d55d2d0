"""Seeded measurements against baselines."""
