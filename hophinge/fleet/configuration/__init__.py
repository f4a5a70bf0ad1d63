"""The operator's configuration: reading, checking, and the routes that follow from it."""
