"""hophinge: the decisions of a host-side I/O scheduler for a shared pool of storage nodes."""
