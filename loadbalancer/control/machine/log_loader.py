"""Reloads the log of a region whose machines have all lost it, from the file of backends."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from loadbalancer.control.machine.backends import read_backends
from loadbalancer.core.assignment.model import InvalidInputError, Row
from loadbalancer.core.replicated_log.replication import Replica

RETRY_S = 2.0  # delay after a failed load

logger = logging.getLogger(__name__)


class LogLoader:
    """Loads one region's log whenever the replica, as the region's leader, needs it."""

    def __init__(
        self,
        replica: Replica,
        region: str,
        services: Sequence[str],
        source: Path | None,
        on_loaded: Callable[[], None],
    ) -> None:
        """Create the loader of a region.

        Args:
            replica: the replica whose log is loaded.
            region: the replica's region.
            services: the services whose home is the region.
            source: the file with their backends; None: the services start without backends.
            on_loaded: called after each load.
        """
        self._replica = replica
        self._region = region
        self._services = services
        self._source = source
        self._on_loaded = on_loaded
        self._task: asyncio.Task[None] | None = None

    def start_if_needed(self) -> None:
        """Start a load if the replica needs one and none is running."""
        if self._replica.needs_load() and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._load())

    async def _load(self) -> None:
        """Load the log once; on failure log the reason and pause.

        Any exception is handled, and the task is always cleared, so that the next tick can start
        another load. Otherwise a load that failed unexpectedly would count as running for ever,
        the region would never be loaded, and nothing would be logged.
        """
        try:
            await self._load_once()
        except InvalidInputError as err:
            logger.info("log of region %s not loaded: %s", self._region, err)
            await asyncio.sleep(RETRY_S)
        except Exception:
            logger.exception("log of region %s not loaded", self._region)
            await asyncio.sleep(RETRY_S)
        finally:
            self._task = None

    async def _load_once(self) -> None:
        rows = await self._read()
        if self._replica.needs_load():
            self._replica.load(rows)
            logger.info("log of region %s loaded: %d services", self._region, len(self._services))
            self._on_loaded()

    async def _read(self) -> Mapping[str, Sequence[Row]]:
        if self._source is None:
            return dict.fromkeys(self._services, ())
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, read_backends, self._source, self._services)
