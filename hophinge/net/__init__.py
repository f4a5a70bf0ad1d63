"""The sockets of the head in service: client connections, backend connections, discovery and the operators' server."""
