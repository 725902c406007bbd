"""Settings and files, read and checked as a whole."""
