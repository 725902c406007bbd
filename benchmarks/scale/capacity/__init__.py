"""The capacity page's rows: slopes multiplied out to the target size."""
