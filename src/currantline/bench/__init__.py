"""Seeded measurements of decision cores."""
