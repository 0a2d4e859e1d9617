"""Clients that send bodies in chunks, in a process of their own.

Usage: uploader.py ADDRESS HOST KEY CLIENT_COUNT BODY_BYTES CHUNK_BYTES

Each client sends one POST and prints what it is answered.
"""

from __future__ import annotations

import socket
import sys
import threading

BLOCK_CHUNKS = 2000


def upload(address, host, key, number, body_bytes, chunk_bytes):
    name, _, port = address.rpartition(":")
    client = socket.create_connection((name, int(port)))
    head = (
        "POST /loan/ HTTP/1.1\r\n"
        f"Host: {host}\r\n"
        f"Yuccatally-Attempt-Id: upload-{number}\r\n"
        "Yuccatally-Deadline-Ms: 60000\r\n"
        f"Api-Key: {key}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    client.sendall(head.encode())
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    left = body_bytes // chunk_bytes
    try:
        while left > 0:
            count = min(left, BLOCK_CHUNKS)
            client.sendall(chunk * count)
            left -= count
        client.sendall(b"0\r\n\r\n")
        line = client.recv(1000).split(b"\r\n")[0].decode()
    except OSError as error:
        line = type(error).__name__
    print(f"reply upload-{number} {line}", flush=True)


def main():
    address, host, key, *numbers = sys.argv[1:]
    client_count, body_bytes, chunk_bytes = map(int, numbers)
    threads = [
        threading.Thread(
            target=upload,
            args=(address, host, key, n, body_bytes, chunk_bytes),
            daemon=True,
        )
        for n in range(client_count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
