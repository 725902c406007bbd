"""Hollow nodes: all of a node but its request traffic, many in one process."""
