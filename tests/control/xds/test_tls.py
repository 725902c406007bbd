"""Tests of mutual TLS: certificates, and the node ids that they may be used with."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import grpc
import pytest
import trustme
from envoy.service.discovery.v3 import discovery_pb2

from fakes.processes import Process
from loadbalancer.control.xds.discovery_service import SERVICE as ADS_SERVICE
from tests.control.xds.support import (
    CLUSTER_URL,
    TLS,
    TWO_POOLS,
    two_pools,
)
from tests.harness import LIMIT, until


@pytest.fixture(scope="module")
def authority() -> trustme.CA:
    return trustme.CA()


@contextlib.contextmanager
def tls_service(tmp_path: Path, authority: trustme.CA) -> Iterator[Process]:
    issue(tmp_path, authority)
    authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    with two_pools(tmp_path, TWO_POOLS + TLS) as process:
        yield process


def issue(tmp_path: Path, authority: trustme.CA) -> None:
    cert = authority.issue_cert("control.example")
    cert.private_key_pem.write_to_path(str(tmp_path / "server.key"))
    cert.cert_chain_pems[0].write_to_path(str(tmp_path / "server.pem"))


def secure_stream(
    process: Process, authority: trustme.CA, signer: trustme.CA | None, name: str, node: str
) -> Any:
    """Open a stream with node id `node`, and return its first response.

    The client's certificate has the name `name` and is issued by `signer`; without a signer the
    client has none.
    """
    pair: dict[str, bytes] = {}
    if signer is not None:
        cert = signer.issue_cert(name)
        pair = {
            "private_key": cert.private_key_pem.bytes(),
            "certificate_chain": cert.cert_chain_pems[0].bytes(),
        }
    credentials = grpc.ssl_channel_credentials(authority.cert_pem.bytes(), **pair)
    options = [("grpc.ssl_target_name_override", "control.example")]
    with grpc.secure_channel(process.address, credentials, options) as channel:
        stream = channel.stream_stream(
            f"/{ADS_SERVICE}/StreamAggregatedResources",
            discovery_pb2.DiscoveryRequest.SerializeToString,
            discovery_pb2.DiscoveryResponse.FromString,
        )
        first = discovery_pb2.DiscoveryRequest(type_url=CLUSTER_URL)
        first.node.id, first.node.user_agent_name = node, "envoy"
        answers = stream(iter([first]), timeout=LIMIT)
        return next(answers)


def test_a_certificate_can_be_used_only_with_its_own_node_ids(
    tmp_path: Path, authority: trustme.CA
) -> None:
    with tls_service(tmp_path, authority) as process:
        for name, node in (("proxy.east.example", "east-7"), ("proxy.west.example", "west-1")):
            assert len(secure_stream(process, authority, authority, name, node).resources) == 2
        wrong = [
            ("proxy.east.example", "west-1"), ("proxy.west.example", "p1"),
            ("proxy.north.example", "p1"),
        ]  # fmt: skip
        for name, node in wrong:
            with pytest.raises(grpc.RpcError) as caught:
                secure_stream(process, authority, authority, name, node)
            assert caught.value.code() is grpc.StatusCode.PERMISSION_DENIED
    assert "may not be used by node id 'west-1'" in process.log_text


def test_a_missing_certificate_or_one_of_another_authority_is_refused(
    tmp_path: Path, authority: trustme.CA
) -> None:
    with tls_service(tmp_path, authority) as process:
        for signer in (None, trustme.CA()):
            with pytest.raises(grpc.RpcError) as caught:
                secure_stream(process, authority, signer, "proxy.east.example", "east-7")
            assert caught.value.code() is grpc.StatusCode.UNAVAILABLE
    assert "connected" not in process.log_text


def test_a_renewed_certificate_is_used_without_a_restart(
    tmp_path: Path, authority: trustme.CA
) -> None:
    with tls_service(tmp_path, authority) as process:
        issue(tmp_path, authority)
        renewed = trustme.CA()
        renewed.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
        issue(tmp_path, renewed)

        def served() -> bool:
            try:
                secure_stream(process, renewed, renewed, "proxy.east.example", "east-7")
            except grpc.RpcError:
                return False
            return True

        until(served)
