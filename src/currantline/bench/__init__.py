"""Seeded measurements of decision cores against baselines."""
