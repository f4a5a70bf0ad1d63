"""Network I/O of a head: client connections, backend connections, discovery and the operators' server."""
