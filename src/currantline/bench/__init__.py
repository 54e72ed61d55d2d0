"""Seeded measurements of decision cores on a fake clock."""
