"""The life of one request: attempts, deadlines, streams, promises."""
