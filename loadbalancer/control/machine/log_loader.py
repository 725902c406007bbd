"""Loads the log of a region whose machines have lost it, from the services' source."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from loadbalancer.control.machine.backends import read_backends
from loadbalancer.core.assignment.model import InvalidInputError, Row
from loadbalancer.core.replicated_log.replication import Replica

RETRY_S = 2.0  # after a source that could not be used

logger = logging.getLogger(__name__)


class LogLoader:
    """Loads one region's log whenever the replica, as its leader, needs that."""

    def __init__(
        self,
        replica: Replica,
        region: str,
        services: Sequence[str],
        source: Path | None,
        on_loaded: Callable[[], None],
    ) -> None:
        """`source` has the backends of these services; without one they begin with none."""
        self._replica = replica
        self._region = region
        self._services = services
        self._source = source
        self._on_loaded = on_loaded
        self._task: asyncio.Task[None] | None = None

    def start_if_needed(self) -> None:
        """Begin to load, unless there is no need or a load is under way."""
        if self._replica.needs_load() and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._load())

    async def _load(self) -> None:
        """Load once, or log why not and pause.

        Failure: a fault other than a bad source ends the task, which counts as under way for
        ever: the region is never loaded, and the log has no line. Whatever ends the task, the
        next tick may begin another one.
        """
        try:
            await self._load_once()
        except InvalidInputError as err:
            logger.info("region %s is not loaded: %s", self._region, err)
            await asyncio.sleep(RETRY_S)
        except Exception:
            logger.exception("region %s is not loaded", self._region)
            await asyncio.sleep(RETRY_S)
        finally:
            self._task = None

    async def _load_once(self) -> None:
        rows = await self._read()
        if self._replica.needs_load():
            self._replica.load(rows)
            logger.info("region %s is loaded: %d services", self._region, len(self._services))
            self._on_loaded()

    async def _read(self) -> Mapping[str, Sequence[Row]]:
        if self._source is None:
            return dict.fromkeys(self._services, ())
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, read_backends, self._source, self._services)
