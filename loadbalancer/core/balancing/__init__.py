"""The decisions of one node: admission, scheduling, endpoint selection, retries."""
