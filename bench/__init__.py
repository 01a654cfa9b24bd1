"""Benchmarks that compare measurements with the bounds of the stated targets."""
