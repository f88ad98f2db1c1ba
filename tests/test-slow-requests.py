#!/usr/bin/env python3
"""Tests that slow, half-sent and malformed requests neither block a node nor end it.

Usage: test-slow-requests.py PROGRAM

Guards against senders of a byte now and then that hold all connections, so that health checks, workers and
users get no answer.
"""

import socket
import sys
import threading

from single_node import TIMEOUT_S, connect, expect, read_head, running

MAX_SOCKETS = 300
SLOW_SENDERS = 320  # more than the node may have sockets
BYTE_INTERVAL_S = 0.5
PROBES = 5

BODY_HEAD = b"POST /api/jobs HTTP/1.1\r\nHost: node\r\nContent-Length: 5000\r\n\r\n{"
ENDLESS_HEAD = b"GET /healthz HTTP/1.1\r\nHost: node\r\nX-Slow: "
# Statuses of a node that runs without a key-value store.
NOT_READY = 503
MALFORMED = 400


def request(method, path, body=b""):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    )


def exchange(port, process, data):
    """Returns the status of the response, or None if the connection is closed without one."""
    with connect(port, process) as connection:
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            head = connection.recv(4096)
        except OSError:
            return None
        return int(head.split()[1]) if head else None


class SlowSenders:
    """Connections that send one byte now and then, until the node closes them."""

    def __init__(self, port, process):
        self.connections = []
        for i in range(SLOW_SENDERS):
            connection = connect(port, process)
            connection.sendall(BODY_HEAD if i % 2 == 0 else ENDLESS_HEAD)
            self.connections.append(connection)
        self.all_closed = threading.Event()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.send)
        self.thread.start()

    def send(self):
        while self.connections and not self.ended.wait(BYTE_INTERVAL_S):
            for connection in list(self.connections):
                try:
                    connection.sendall(b" ")
                except (BrokenPipeError, ConnectionResetError):
                    connection.close()
                    self.connections.remove(connection)
        if not self.connections:
            self.all_closed.set()

    def end(self):
        self.ended.set()
        self.thread.join()


def check_slow_senders(port, process):
    senders = SlowSenders(port, process)
    try:
        for _ in range(PROBES):
            for what, data, status in [
                ("health check", request("GET", "/healthz"), NOT_READY),
                ("heartbeat", request("POST", "/checkin", b"{}"), MALFORMED),
                ("submission", request("POST", "/api/jobs", b"{}"), MALFORMED),
            ]:
                with connect(port, process) as connection:
                    connection.sendall(data)
                    expect(f"{what} beside slow senders", status, read_head(connection)[0])
        expect("slow senders are closed", True, senders.all_closed.wait(TIMEOUT_S))
    finally:
        senders.end()


def check_half_sent_and_malformed(port, process):
    head = b"POST /api/jobs HTTP/1.1\r\nHost: node\r\n"
    chunk = b"Transfer-Encoding: chunked\r\n"
    cases = [
        ("half a body", head + b"Content-Length: 100\r\n\r\n{", [None]),
        ("half a head", head, [None, MALFORMED]),
        ("a body longer than stated", head + b"Content-Length: 2\r\n\r\n{}{}{}", [MALFORMED]),
        ("chunks", head + chunk + b"\r\n2\r\n{}\r\n0\r\n\r\n", [MALFORMED]),
        ("a malformed chunk", head + chunk + b"\r\nxyz\r\n{}\r\n", [None, MALFORMED]),
        ("a head that is too large", head + b"X: " + b"x" * 100000 + b"\r\n\r\n", [None, 413, 414, 431]),
        ("two lengths", head + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", [MALFORMED]),
        ("a length beside chunks", head + chunk + b"Content-Length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n", [MALFORMED]),
        ("a length that is no number", head + b"Content-Length: -1\r\n\r\n", [None, MALFORMED]),
        ("no HTTP", b"\x16\x03\x01\x02\x00" * 20 + b"\r\n\r\n", [None, MALFORMED]),
        ("the largest body", request("POST", "/api/jobs", b"[" * 65536), [MALFORMED]),
        ("a body that is too large", request("POST", "/api/jobs", b"[" * 65537), [413]),
    ]
    for what, data, statuses in cases:
        status = exchange(port, process, data)
        if status not in statuses:
            sys.exit(f"{what}: expected one of {statuses}, got {status}")
        expect(f"health check after {what}", NOT_READY, exchange(port, process, request("GET", "/healthz")))
    expect("the node ended", None, process.poll())


def main():
    with running(sys.argv[1], {"max_sockets": MAX_SOCKETS}) as (port, process):
        check_half_sent_and_malformed(port, process)
        check_slow_senders(port, process)


main()
