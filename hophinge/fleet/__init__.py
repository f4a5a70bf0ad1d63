"""Request routers for inference with separate prefill and decode stages: a data plane and a control plane."""
