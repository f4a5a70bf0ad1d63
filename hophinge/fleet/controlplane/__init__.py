"""The program that keeps the control state and serves the operator and the instances."""
