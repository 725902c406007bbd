"""The process of one control machine: reads the control file and serves until a signal."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

import uvloop

from loadbalancer import logs
from loadbalancer.control.machine.file import ScaleFile, ScaleFileError, read_scale_file
from loadbalancer.control.machine.machine import ControlMachine
from loadbalancer.core.assignment.model import InvalidInputError

EXIT_UNUSABLE = 2  # the file, the machine's name or an address can't be used

logger = logging.getLogger(__name__)


async def serve(file: ScaleFile, name: str) -> None:
    """Run one control machine until SIGTERM or SIGINT.

    Raises:
        ScaleFileError: the file has no machine of that name.
        OSError: the machine can't listen on one of its addresses.
    """
    machine = ControlMachine(file, file.machine(name))
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await machine.open()
    logger.info(
        "control machine %s serves %d nodes, %d services",
        name, len(file.nodes), len(file.services),
    )  # fmt: skip
    await stopped.wait()
    machine.close()


def main(path: str, name: str) -> int:
    """Run a control machine; return its exit status, 2 if the file or an address is unusable."""
    logs.configure(f"loadbalancer scale {name}", logs.SERVICE_LINES_PER_SECOND)
    try:
        uvloop.run(serve(read_scale_file(path), name))
    except (ScaleFileError, InvalidInputError) as err:
        print(err, file=sys.stderr)
        return EXIT_UNUSABLE
    except OSError as err:
        print(f"loadbalancer scale: {name}: {err}", file=sys.stderr)
        return EXIT_UNUSABLE
    return 0
