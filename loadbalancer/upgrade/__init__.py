"""One process succeeding another at the same addresses, the two being one node meanwhile."""
