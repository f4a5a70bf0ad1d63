"""The one way to write a file that must last."""
