"""What only reads state; nothing here writes."""
