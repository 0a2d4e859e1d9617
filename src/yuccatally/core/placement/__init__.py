"""Assignment of layer ranges to engines."""
