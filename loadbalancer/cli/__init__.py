"""What an operator runs beside the node: check, demo and their like."""
