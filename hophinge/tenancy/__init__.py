"""Isolation between tenants: what each tenant may use at a head. No I/O, no clock, no asyncio."""
