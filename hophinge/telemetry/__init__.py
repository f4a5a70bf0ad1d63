"""Export of a head's metrics."""
