"""The real node round the decisions of flinthatch; see docs/design.md."""
