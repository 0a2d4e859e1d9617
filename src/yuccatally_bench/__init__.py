"""Benchmarks that compare yuccatally with baselines."""
