"""Entry point: `python -m loadbalancer` runs the proxy; with arguments it runs a sub-command."""

from __future__ import annotations

import sys

from loadbalancer import early_signals


def main() -> int:
    """Run the proxy or the sub-command named on the command line; returns the exit status."""
    if len(sys.argv) > 1:
        # Imported here, as a sub-command handles signals itself and needs other modules.
        from loadbalancer.cli.commands import main as run_command

        return run_command(sys.argv[1:])
    early_signals.record()
    # Imported after `record`, as this import is slow and signals that arrive meanwhile must count.
    from loadbalancer.proxy.process import run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
