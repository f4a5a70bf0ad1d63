"""Durable state of one replica: two slots that are written in turn, and a short log between."""
