#!/usr/bin/env python3
"""Tests how a node treats the bodies of many requests that arrive at the same time.

Usage: test-request-bodies.py PROGRAM

Users may open many connections and send 64 KiB on each. The bodies took memory without a bound, until the
node ended for memory. Beyond a share of its memory a request is answered 503 with Retry-After, and the memory
is free again once a body has been processed.
"""

import sys

from single_node import connect, expect, read_head, running

MEMORY_MB = 1  # a sixteenth of it, 64 KiB, is for bodies
BODY_BYTES = 50000
FIRST_PIECE_BYTES = 40000
PAIRS_MAX = 1000
REQUESTS_AFTER = 10


def begin_request(port, process):
    """Sends a request without the end of its body, which is not JSON."""
    connection = connect(port, process)
    head = f"POST /api/jobs HTTP/1.1\r\nHost: node\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    connection.sendall(head.encode() + b"x" * FIRST_PIECE_BYTES)
    return connection


def finish_request(connection):
    """Sends the rest of the body. Returns the status and the head of the response."""
    connection.sendall(b"x" * (BODY_BYTES - FIRST_PIECE_BYTES))
    status, head = read_head(connection)
    connection.close()
    return status, head


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
    with running(sys.argv[1], {"ram_mb": f"{MEMORY_MB}.0"}) as (port, process):
        check(port, process)


main()
