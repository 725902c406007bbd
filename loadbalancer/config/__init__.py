"""Reads and validates configuration files and settings."""
