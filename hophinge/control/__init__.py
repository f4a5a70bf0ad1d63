"""Configuration streaming: the control service, the heads that follow it, and the discovery stream between them."""
