"""Code generated from ``peer.proto``."""
