"""Stand-ins of the second review: store, upstreams, clients and the instances' host."""
