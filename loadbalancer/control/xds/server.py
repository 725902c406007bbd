"""The control service's process: its gRPC server, signals and certificates.

It is a separate process that runs on asyncio and grpc.aio. Nodes do not import this module, so
they do not need grpc.
"""

from __future__ import annotations

import asyncio
import logging
import signal
from pathlib import Path

import grpc

from loadbalancer import logs
from loadbalancer.config.node import ConfigError
from loadbalancer.control.xds.discovery_service import MAX_STREAMS
from loadbalancer.control.xds.file import ControlFileError, TlsConfig, read_file
from loadbalancer.control.xds.pool_inputs import read_inputs
from loadbalancer.control.xds.service import ControlService
from loadbalancer.sources.consul.file import ConsulError
from loadbalancer.sources.endpoint_list import ListError

logger = logging.getLogger(__name__)

LOG_PREFIX = "control"
MAX_REQUEST_BYTES = 4 << 20
STOP_GRACE_S = 0.2
EXIT_UNUSABLE = 2  # the file, a list or an address can't be used


def _credentials(tls: TlsConfig) -> grpc.ServerCredentials:
    """Create credentials for mutual TLS; the files are read again at each handshake."""

    def read() -> grpc.ServerCertificateConfiguration:
        pair = (Path(tls.key).read_bytes(), Path(tls.certificate).read_bytes())
        clients = Path(tls.clients).read_bytes()
        return grpc.ssl_server_certificate_configuration([pair], clients)

    def read_again() -> grpc.ServerCertificateConfiguration | None:
        try:
            return read()
        except (OSError, ValueError):
            return None  # a file is missing or half written: keep the current certificates

    return grpc.dynamic_ssl_server_credentials(read(), read_again, True)


async def serve(control: ControlService) -> None:
    """Serve until SIGTERM or SIGINT; reload on SIGHUP.

    Raises:
        ListError: a pool's list is invalid.
        OSError: a file can't be read.
        RuntimeError: the server can't listen on its address.
    """
    server = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MAX_REQUEST_BYTES),
            ("grpc.max_concurrent_streams", MAX_STREAMS),
            ("grpc.so_reuseport", 0),
        ]
    )
    server.add_generic_rpc_handlers(
        (
            *control.discovery.handlers(),
            control.client_status.handler(),
            control.load_reporting.handler(),
        )
    )
    listen, tls = control.config.listen, control.config.tls
    if tls is None:
        port = server.add_insecure_port(str(listen))
    else:
        port = server.add_secure_port(str(listen), _credentials(tls))
    control.start()
    await server.start()
    logger.info("listening on %s:%s", listen.host, port)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, control.reload)
    await stopped.wait()
    control.close()
    await server.stop(STOP_GRACE_S)


def main(path: str) -> int:
    """Run the control service; return its exit status, 2 if the file or an address is unusable."""
    logs.configure(LOG_PREFIX, logs.SERVICE_LINES_PER_SECOND)
    try:
        config = read_file(path)
        asyncio.run(serve(ControlService(path, config, read_inputs(config))))
    except (ControlFileError, ConfigError, ConsulError, ListError, OSError, RuntimeError) as err:
        logger.error("%s", err)  # noqa: TRY400 - a configuration error; the text describes it
        return EXIT_UNUSABLE
    return 0
