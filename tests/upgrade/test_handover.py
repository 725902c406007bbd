"""A second process beside the running one: the two are one node, whoever dies first."""

from __future__ import annotations

import json
import os
import signal
import socket
import threading
from pathlib import Path

import pytest

from loadbalancer.config.address import Address
from loadbalancer.upgrade.socket_path import UpgradeSocket, socket_path
from tests.harness import (
    LIMIT,
    LONG_MS,
    Peer,
    Running,
    accept,
    accept_any,
    answer,
    config,
    listen,
    node,
    patient_classes,
    request,
    roster,
    started,
    target,
    until,
)
from tests.proxy.test_reload import replace_config

ADMIN = "127.0.0.1:0"
# What is held over the start of a second and a third process must not run out meanwhile.
PATIENT = {"classes": patient_classes()}


def environ(tmp_path: Path, backend: socket.socket, discovery: int = 1) -> dict[str, str]:
    known = roster(target("s-1", backend.getsockname()[1]), rev=7)
    return config(tmp_path, known, discovery, admin=ADMIN, settings=PATIENT)


def ask(n: Running, rid: str, path: str = "/balance/7f3a") -> Peer:
    client = n.connect()
    body = b"x" if "credit" in path else None
    client.send(request(path, body, rid=rid, timeout=LONG_MS))
    return client


def serve(backend: socket.socket, client: Peer, body: bytes = b"served") -> dict[str, str]:
    """Answer one request that comes on a new connection."""
    peer = accept(backend)
    peer.message()
    peer.send(answer(body))
    line, headers, got = client.message()
    assert (line, got) == ("HTTP/1.1 200 OK", body)
    return headers


def stops_accepting(old: Running) -> None:
    old.says("the successor serves")


def test_the_successor_takes_the_address_and_the_old_one_empties(tmp_path: Path) -> None:
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        held, idle = ask(old, "held"), old.connect()
        peer = accept(backend)
        peer.message()
        idle.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert idle.message()[0] == "HTTP/1.1 200 OK"
        with started(environ(tmp_path, backend)) as new:
            assert new.port == old.port
            assert new.call("GET /status")[0] == "HTTP/1.1 200 OK"
            stops_accepting(old)
            serve(backend, ask(new, "fresh"))
            idle.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line, headers, _ = idle.message()  # the node is ready: its successor serves
            assert (line, headers["connection"]) == ("HTTP/1.1 200 OK", "close")
            peer.send(answer(b"held"))
            line, headers, body = held.message()
            assert (headers["connection"], body) == ("close", b"held")
            assert old.stop() == 0
            new.says("the predecessor has gone")
            serve(backend, ask(new, "last"))
            assert new.stop() == 0
    assert not list(tmp_path.glob("*.sock"))


def test_an_id_open_at_the_old_process_is_known_at_the_new_one(tmp_path: Path) -> None:
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        held = ask(old, "same")
        peer = accept(backend)
        peer.message()
        with started(environ(tmp_path, backend)) as new:
            again = ask(new, "same")
            assert again.message()[0] == "HTTP/1.1 409 Conflict"
            peer.send(answer(b"held"))
            assert held.message()[2] == b"held"
            assert old.stop() == 0
            assert new.stop() == 0


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM])
def test_the_old_process_serves_on_when_its_successor_dies(
    tmp_path: Path, how: signal.Signals
) -> None:
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        with started(environ(tmp_path, backend)) as new:
            stops_accepting(old)
            new.process.send_signal(how)
            new.process.wait(LIMIT)
            old.says("serving again")
            new.process.returncode = 0
        headers = serve(backend, ask(old, "after"))
        assert "connection" not in headers
        with started(environ(tmp_path, backend)) as third:  # and hands over once more
            stops_accepting(old)
            assert third.port == old.port
            assert old.stop() == 0
            assert third.stop() == 0


def test_a_successor_that_dies_before_its_yes_changes_nothing(tmp_path: Path) -> None:
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        path = tmp_path / os.path.basename(socket_path(Address("127.0.0.1", 0)))
        caller = UpgradeSocket(str(path)).connect(LIMIT)
        assert caller is not None
        caller.sendall(b"windrelay upgrade    1\n")
        data, fds, _, _ = socket.recv_fds(caller, 100, 1)
        assert data.startswith(b"windrelay") and len(fds) == 1
        os.close(fds[0])
        old.says("a successor has come")
        caller.close()
        old.says("left before it served")
        assert "connection" not in serve(backend, ask(old, "after"))
        assert old.stop() == 0


@pytest.mark.parametrize("words", [b"", b"GET / HTTP/1.1\r\n\r\n", b"windrelay upgrade   99\n"])
def test_what_is_no_successor_costs_only_itself(tmp_path: Path, words: bytes) -> None:
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        path = tmp_path / os.path.basename(socket_path(Address("127.0.0.1", 0)))
        callers = [UpgradeSocket(str(path)).connect(LIMIT) for _ in range(4)]
        for caller in callers:
            assert caller is not None
            caller.sendall(words)
        if words:
            assert callers[0] is not None
            assert Peer(callers[0]).ends() == b""
        serve(backend, ask(old, "after"))
        for caller in callers:
            assert caller is not None
            caller.close()
        with started(environ(tmp_path, backend)) as new:
            assert new.port == old.port
            assert old.stop() == 0 and new.stop() == 0


def test_frames_of_another_form_end_the_link_and_nothing_else(tmp_path: Path) -> None:
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        path = tmp_path / os.path.basename(socket_path(Address("127.0.0.1", 0)))
        for frame in (b"\xff\xff\xff\xff", b"\0\0\0\2[]", b"\0\0\0\1{", b'\0\0\0\12{"news":1}'):
            caller = UpgradeSocket(str(path)).connect(LIMIT)
            assert caller is not None
            caller.sendall(b"windrelay upgrade    1\n" + frame)
            until(lambda c=caller: _ended(c))
            caller.close()
        assert "connection" not in serve(backend, ask(old, "after"))
        assert old.stop() == 0


def _ended(sock: socket.socket) -> bool:
    try:
        sock.settimeout(1.0)
        return not sock.recv(1 << 20)
    except TimeoutError:
        return True  # a word that is not news changes nothing, and the link may stay
    except ConnectionError:
        return True


@pytest.mark.parametrize("left", ["file", "folder", "socket"])
def test_leftovers_in_the_temporary_folder_stop_no_start(tmp_path: Path, left: str) -> None:
    path = tmp_path / os.path.basename(socket_path(Address("127.0.0.1", 0)))
    if left == "file":
        path.write_text("of another program")
    elif left == "folder":
        path.mkdir()
    else:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as dead:
            dead.bind(str(path))
    with listen() as backend, started(environ(tmp_path, backend)) as n:
        serve(backend, ask(n, "one"))
        assert n.stop() == 0


def test_a_folder_whose_name_is_too_long_for_a_socket_address(tmp_path: Path) -> None:
    deep = tmp_path / ("d" * 120)
    deep.mkdir()
    with listen() as backend:
        where = environ(tmp_path, backend) | {"TMPDIR": str(deep)}
        with started(where) as old, started(where) as new:
            assert new.port == old.port
            stops_accepting(old)
            assert old.stop() == 0 and new.stop() == 0


def test_a_predecessor_that_hangs_is_gone_without(tmp_path: Path) -> None:
    """Its greeting never comes; the port is shared, and what comes after it ends is served."""
    with listen() as probe:
        port = probe.getsockname()[1]
    with listen() as backend:
        where = environ(tmp_path, backend) | {"PROXY_LISTEN": f"127.0.0.1:{port}"}
        with started(where) as old:
            old.process.send_signal(signal.SIGSTOP)
            with started(where) as new:
                assert new.call("GET /status")[0] == "HTTP/1.1 200 OK"
                old.process.kill()
                old.process.wait(LIMIT)
                old.process.returncode = 0
                serve(backend, ask(new, "after"))
                assert new.stop() == 0


def test_a_sigterm_before_the_yes_ends_the_old_one_and_the_new_one_is_whole(
    tmp_path: Path,
) -> None:
    """The socket was handed on: what comes between the two waits in its queue."""
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        path = tmp_path / os.path.basename(socket_path(Address("127.0.0.1", 0)))
        caller = UpgradeSocket(str(path)).connect(LIMIT)
        assert caller is not None
        caller.sendall(b"windrelay upgrade    1\n")
        _, fds, _, _ = socket.recv_fds(caller, 100, 1)
        assert old.stop() == 0
        between = ask(old, "between")
        listener = socket.socket(fileno=fds[0])
        listener.settimeout(LIMIT)
        assert Peer(listener.accept()[0]).message()[1]["x-request-id"] == "between"
        between.close()
        listener.close()
        caller.close()


def test_the_new_process_is_whole_when_the_old_one_is_killed(tmp_path: Path) -> None:
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        held = ask(old, "held")
        peer = accept(backend)
        peer.message()
        with started(environ(tmp_path, backend)) as new:
            stops_accepting(old)
            old.process.kill()
            old.process.wait(LIMIT)
            old.process.returncode = 0
            assert held.ends() == b""
            new.says("the predecessor has gone")
            clients = [ask(new, f"c{i}") for i in range(3)]  # three slots, none kept by anybody
            peers = [accept(backend) for _ in clients]
            for peer in peers:
                peer.message()
                peer.send(answer(b"served"))
            assert [c.message()[2] for c in clients] == [b"served"] * 3
            assert new.stop() == 0


def test_a_long_body_at_the_old_process_is_finished_there(tmp_path: Path) -> None:
    long = b"z" * 2_000_000
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        client = old.connect()
        whole = request("/credit/1", long, LONG_MS, "long")
        client.send(whole[:300_000])
        peer = accept(backend)
        while len(peer.buffer) < 100_000:
            assert peer.more()
        with started(environ(tmp_path, backend)) as new:
            stops_accepting(old)
            old.process.send_signal(signal.SIGTERM)
            old.says("stopping")
            client.sock.settimeout(LIMIT)
            thread = threading.Thread(target=client.sock.sendall, args=(whole[300_000:],))
            thread.start()
            assert peer.message()[2] == long
            thread.join()
            peer.send(answer(b"served"))
            line, headers, body = client.message()
            assert (line, headers["connection"], body) == ("HTTP/1.1 200 OK", "close", b"served")
            assert old.process.wait(LIMIT) == 0
            assert new.stop() == 0


def test_a_third_process_takes_over_from_the_second(tmp_path: Path) -> None:
    with listen() as backend, started(environ(tmp_path, backend)) as first:
        held = ask(first, "held")
        peer = accept(backend)
        peer.message()
        with (
            started(environ(tmp_path, backend)) as second,
            started(environ(tmp_path, backend)) as third,
        ):
            stops_accepting(second)
            serve(backend, ask(third, "fresh"))
            peer.send(answer(b"held"))
            assert held.message()[2] == b"held"
            assert first.stop() == 0 and second.stop() == 0
            serve(backend, ask(third, "last"))
            assert third.stop() == 0


def test_a_drain_goes_over_to_the_successor_and_calls_to_either_bind_both(tmp_path: Path) -> None:
    with listen() as backend, started(environ(tmp_path, backend)) as old:
        old.call("POST /standby")
        with started(environ(tmp_path, backend)) as new:
            assert new.call("GET /status")[2] == b"standby\n"
            assert not new.ready()
            assert "standby: sending clients away" in new.said  # what rests is closed there too
            assert old.call("POST /active")[0] == "HTTP/1.1 200 OK"
            until(new.ready)
            new.call("POST /standby")
            assert not new.ready()
            assert old.call("GET /status")[0] == "HTTP/1.1 200 OK"
            assert old.stop() == 0 and new.stop() == 0


def test_news_reach_both_by_one_watch_and_a_drained_server_gets_nothing(tmp_path: Path) -> None:
    with listen() as discovery, listen() as first, listen() as second:
        port = discovery.getsockname()[1]
        rows = [target("s-1", first.getsockname()[1]), target("s-2", second.getsockname()[1])]
        where = config(tmp_path, roster(*rows, rev=7), port, admin=ADMIN, settings=PATIENT)
        with started(where) as old:
            watch = accept(discovery)
            assert "from=7" in watch.message()[0]
            watch.send(answer(json.dumps(roster(*rows, rev=9)).encode()))
            again = accept(discovery)
            assert "from=9" in again.message()[0]
            kept = old.connect()
            kept.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            kept.message()
            with started(where) as new:
                taken = accept(discovery)
                assert "from=9" in taken.message()[0]  # from the list that was handed on
                assert again.ends() == b""  # and the old one asks no more
                drained = target("s-1", first.getsockname()[1], "leaving")
                change = roster(drained, rev=10, whole=False)
                taken.send(answer(json.dumps(change).encode()))
                assert "from=10" in accept(discovery).message()[0]
                # The old one heard of it too: what it still takes goes to the other server.
                kept.send(request(rid="kept", timeout=LONG_MS))
                peer = accept(second)
                peer.message()
                peer.send(answer(b"kept"))
                assert kept.message()[2] == b"kept"
                assert old.stop() == 0 and new.stop() == 0


def test_a_reload_told_to_one_is_taken_over_by_both(tmp_path: Path) -> None:
    with (
        listen() as backend,
        started(environ(tmp_path, backend)) as old,
        started(environ(tmp_path, backend)) as new,
    ):
        stops_accepting(old)
        new.process.send_signal(signal.SIGHUP)
        new.says("reloaded")
        old.says("reloaded")
        old.process.send_signal(signal.SIGHUP)
        new.says("reloaded")
        assert old.stop() == 0 and new.stop() == 0


def test_a_reload_moves_the_one_watch_and_the_old_process_asks_nobody(tmp_path: Path) -> None:
    with listen() as backend, listen() as first, listen() as second:
        ports = [s.getsockname()[1] for s in (first, second)]
        where = environ(tmp_path, backend, ports[0])
        with started(where) as old, started(where) as new:
            stops_accepting(old)
            raw = json.loads((tmp_path / "config.json").read_text())
            replace_config(tmp_path, json.dumps(raw | {"discovery": f"127.0.0.1:{ports[1]}"}))
            new.process.send_signal(signal.SIGHUP)
            new.says("reloaded")
            old.says("reloaded")
            asked = accept(second)
            asked.message()
            known = roster(target("s-1", backend.getsockname()[1]), rev=9)
            asked.send(answer(json.dumps(known).encode()))
            watch = accept(second)  # held open: a watch that ends is asked for again
            assert "from=9" in watch.message()[0]
            assert old.stop() == 0
            second.setblocking(False)
            with pytest.raises(BlockingIOError):
                second.accept()
            assert new.stop() == 0


def test_the_old_process_asks_for_the_list_itself_where_its_successor_hangs(
    tmp_path: Path,
) -> None:
    """A successor that is stopped passes nothing on: drains must reach the old one all the same."""
    with listen() as discovery, listen() as first, listen() as second:
        port = discovery.getsockname()[1]
        rows = [target("s-1", first.getsockname()[1]), target("s-2", second.getsockname()[1])]
        where = config(tmp_path, roster(*rows, rev=7), port, admin=ADMIN, settings=PATIENT)
        with started(where) as old:
            first_call = accept(discovery)
            first_call.message()
            kept = old.connect()
            kept.send(request(rid="a", timeout=LONG_MS) + request(rid="b", timeout=LONG_MS))
            before, _ = accept_any(first, second)
            before.message()
            with started(where) as new:
                stops_accepting(old)
                assert first_call.ends() == b""  # the old one asks no more
                taken = accept(discovery)
                taken.message()
                new.process.send_signal(signal.SIGSTOP)
                asked = accept(discovery)
                assert "from=7" in asked.message()[0]
                drained = rows[0] | {"state": "leaving"}
                asked.send(answer(json.dumps(roster(drained, rev=8, whole=False)).encode()))
                assert "from=8" in accept(discovery).message()[0]
                before.send(answer(b"a", "200 OK", "Connection: close"))
                assert kept.message()[2] == b"a"
                peer = accept(second)
                assert peer.message()[1]["x-request-id"] == "b"
                peer.send(answer(b"b"))
                assert kept.message()[2] == b"b"
                new.process.send_signal(signal.SIGCONT)
                assert old.stop() == 0 and new.stop() == 0


def test_without_a_second_address_nothing_of_it_is_opened(tmp_path: Path) -> None:
    with node(tmp_path, roster()) as n:
        assert not list(tmp_path.glob("*.sock"))
        assert n.stop() == 0
