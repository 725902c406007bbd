"""Request routing: canonical paths, route matching, and decoding of the routes file."""
