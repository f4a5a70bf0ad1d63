"""Tenants kept apart: what each may take at a head. No I/O, no clock, no asyncio."""
