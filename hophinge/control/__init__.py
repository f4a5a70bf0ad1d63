"""Streamed configuration: the control service, what a head keeps of it, and the stream between them."""
