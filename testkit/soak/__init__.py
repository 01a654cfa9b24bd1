"""Soak: real processes behind proxies, with faults in series, checked from outside."""
