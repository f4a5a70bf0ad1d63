"""The control plane: replicates the configuration, leases and instances, and serves operators and instances."""
