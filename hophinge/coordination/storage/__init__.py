"""Durable state of a member: two slots that are written in turn, and a log of what came after the newer one."""
