"""The operator's configuration: its schema and validation, and the route table built from it."""
