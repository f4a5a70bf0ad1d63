"""The operator's configuration: schema, validation, and the route table built from it."""
