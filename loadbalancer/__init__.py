"""A load-balancing HTTP/1.1 proxy, built around the decisions in loadbalancer.core.

See docs/design.md.
"""
