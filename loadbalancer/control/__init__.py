"""The control plane's processes."""
