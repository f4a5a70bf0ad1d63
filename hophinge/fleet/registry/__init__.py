"""Instance registry: instances register by heartbeat, and members learn of changes through anti-entropy."""
