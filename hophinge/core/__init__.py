"""The core shared by all frontends: the scheduler, the exchange and the types between them."""
