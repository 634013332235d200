"""The fault soak: real programs as processes, faults injected from outside."""
