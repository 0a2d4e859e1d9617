"""Selection of rule and address for calls of plain services."""
