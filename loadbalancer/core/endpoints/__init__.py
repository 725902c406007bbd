"""Members: many sources' words as one list, and how a long list is read."""
