"""The data plane: forwards clients' requests to instances."""
