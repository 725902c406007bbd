"""Routes: canonical forms, the table that is matched, its file and the file's rules."""
