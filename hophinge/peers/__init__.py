"""Datagrams between the members of a cluster: the sockets beside `cluster`, which decides."""
