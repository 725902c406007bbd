"""HTTP/1.1 connections to backends."""
