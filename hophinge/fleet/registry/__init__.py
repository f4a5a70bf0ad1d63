"""Instances that register by heartbeat."""
