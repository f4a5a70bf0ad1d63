"""Which instance takes a request: groups by key, books by size, bounds on what is out."""
