"""Decisions handed to other proxies over xDS; see docs/design/control.md."""
