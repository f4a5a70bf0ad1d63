"""The UDP sockets of cluster members; the protocol itself is in `hophinge.cluster`."""
