"""Benchmarks and seeded simulations of the load balancer."""
