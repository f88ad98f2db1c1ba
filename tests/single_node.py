"""Runs one node as a process on the loopback interface, without a key-value store, for tests of its HTTP server."""

import contextlib
import os
import re
import socket
import subprocess
import sys
import tempfile

SAMPLE = os.path.join(os.environ["MM_SOURCE_ROOT"], "docs", "sample.toml")
TIMEOUT_S = 60


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def write_settings(folder, front_port, resources):
    """Writes the sample settings with this port, and with these values in the table of resources."""
    with open(SAMPLE, encoding="utf-8") as file:
        text = file.read()
    text = re.sub(r'front = "[^"]*"', f'front = "127.0.0.1:{front_port}"', text)
    text = re.sub(r'cluster_listen = "[^"]*"', f'cluster_listen = "127.0.0.1:{free_port()}"', text)
    for name, value in resources.items():
        text = re.sub(rf"{name} = .*", f"{name} = {value}", text)
    path = os.path.join(folder, "node.toml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    return path


def connect(port, process):
    """Opens a connection, as soon as the node listens."""
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
        except ConnectionRefusedError:
            if process.poll() is not None:
                sys.exit(f"the node ended with status {process.returncode}")


@contextlib.contextmanager
def running(program, resources):
    """Yields the port of a running node and its process."""
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        settings = write_settings(folder, port, resources)
        process = subprocess.Popen([program, "--config", settings], stderr=subprocess.DEVNULL)
        try:
            yield port, process
        finally:
            process.kill()
            process.wait()


def read_head(connection):
    """Returns the status and the head of the response."""
    head = b""
    while b"\r\n\r\n" not in head:
        piece = connection.recv(4096)
        if not piece:
            sys.exit("the connection was closed without a response")
        head += piece
    return int(head.split()[1]), head.decode()


def expect(what, expected, actual):
    if expected != actual:
        sys.exit(f"{what}: expected {expected}, got {actual}")
