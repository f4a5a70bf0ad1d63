"""The sockets of a head: clients before it, bricks and discovery behind it."""
