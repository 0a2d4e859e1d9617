"""Admission control: order, rate limits and refusals of model requests."""
