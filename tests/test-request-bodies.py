#!/usr/bin/env python3
"""Tests how a node treats the bodies of many requests that arrive at the same time.

Usage: test-request-bodies.py PROGRAM

Users may open many connections and send 64 KiB on each. The bodies took memory without a bound, until the
node ended for memory. Beyond a share of its memory a request is answered 503 with Retry-After, and the memory
is free again once a body has been processed.
"""

import os
import re
import socket
import subprocess
import sys
import tempfile

SAMPLE = os.path.join(os.environ["MM_SOURCE_ROOT"], "docs", "sample.toml")
TIMEOUT_S = 60
MEMORY_MB = 1  # a sixteenth of it, 64 KiB, is for bodies
BODY_BYTES = 50000
FIRST_PIECE_BYTES = 40000
PAIRS_MAX = 1000
REQUESTS_AFTER = 10


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def write_settings(folder, front_port):
    with open(SAMPLE, encoding="utf-8") as file:
        text = file.read()
    text = re.sub(r'front = "[^"]*"', f'front = "127.0.0.1:{front_port}"', text)
    text = re.sub(r'cluster_listen = "[^"]*"', f'cluster_listen = "127.0.0.1:{free_port()}"', text)
    text = re.sub(r"ram_mb = .*", f"ram_mb = {MEMORY_MB}.0", text)
    path = os.path.join(folder, "node.toml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    return path


def connect(port, process):
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
        except ConnectionRefusedError:
            if process.poll() is not None:
                sys.exit(f"the node ended with status {process.returncode}")


def begin_request(port, process):
    """Sends a request without the end of its body, which is not JSON."""
    connection = connect(port, process)
    head = f"POST /api/jobs HTTP/1.1\r\nHost: node\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    connection.sendall(head.encode() + b"x" * FIRST_PIECE_BYTES)
    return connection


def finish_request(connection):
    """Sends the rest of the body. Returns the status and the head of the response."""
    connection.sendall(b"x" * (BODY_BYTES - FIRST_PIECE_BYTES))
    head = b""
    while b"\r\n\r\n" not in head:
        piece = connection.recv(4096)
        if not piece:
            sys.exit("the connection was closed without a response")
        head += piece
    connection.close()
    return int(head.split()[1]), head.decode()


def expect(what, expected, actual):
    if expected != actual:
        sys.exit(f"{what}: expected {expected}, got {actual}")


def send_pair(port, process):
    """Sends two requests at the same time whose bodies do not fit into the memory together. Returns the heads
    of the responses that refuse one. Each may be served if the node reads one after the other."""
    connections = [begin_request(port, process), begin_request(port, process)]
    refused = []
    for connection in connections:
        status, head = finish_request(connection)
        if status == 400:
            continue
        expect("request beyond the memory for bodies", 503, status)
        refused.append(head)
    return refused


def check(port, process):
    for _ in range(PAIRS_MAX):
        refused = send_pair(port, process)
        if refused:
            break
    else:
        sys.exit(f"in none of {PAIRS_MAX} pairs a request beyond the memory for bodies was refused")
    for head in refused:
        expect("Retry-After in the response", True, "retry-after: 1\r\n" in head.lower())
    for _ in range(REQUESTS_AFTER):
        expect("request after the others", 400, finish_request(begin_request(port, process))[0])


def main():
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        settings = write_settings(folder, port)
        process = subprocess.Popen([sys.argv[1], "--config", settings], stderr=subprocess.DEVNULL)
        try:
            check(port, process)
        finally:
            process.kill()
            process.wait()


main()
