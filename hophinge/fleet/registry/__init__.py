"""The instance registry: instances register by heartbeat, and changes spread to all members by anti-entropy."""
