"""The object front: buckets and objects over HTTP, as requests of the same core. It is off unless configured."""
