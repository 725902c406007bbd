"""The program: `python -m loadbalancer` is the proxy, and with a name a sub-command."""

from __future__ import annotations

import sys

from loadbalancer import early_signals


def main() -> int:
    """Run what the command line names; returns the exit status."""
    if len(sys.argv) > 1:
        # Imported here: a sub-command has signals and imports of its own.
        from loadbalancer.cli.commands import main as run_command

        return run_command(sys.argv[1:])
    early_signals.record()
    # Imported only now: it takes long, and a signal that comes meanwhile counts.
    from loadbalancer.proxy.process import run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
