"""Measurements of yuccatally beside baselines."""
