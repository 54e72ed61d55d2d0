"""Seeded measurement of decision cores against baselines."""
