"""The client side of the proxy: listener, HTTP/1.1 connections, requests and responses."""
