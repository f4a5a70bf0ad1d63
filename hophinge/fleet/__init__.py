"""A router fleet for split prefill and decode: a data plane and a control plane."""
