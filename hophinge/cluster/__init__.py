"""Members of an installation and what each owns and tells the others: decided without I/O, clock or asyncio."""
