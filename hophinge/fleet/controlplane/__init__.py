"""The control plane: replicates configuration, leases and instances, and serves operators and instances."""
