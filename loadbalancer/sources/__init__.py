"""Where endpoint lists come from."""
