"""Send requests to a running fleet and read the answers."""

import json
import os
import secrets
import socket
import time
import urllib.error
import urllib.request
from typing import NamedTuple

from tests.builders import KEY

# Of its own for each run, so that runs beside each other do not collide.
LOOPBACK_HOST = f'127.9.{os.getpid() % 250}.7'


class Reply(NamedTuple):
    """Hold an answer as a caller receives it; header names in lower case."""

    status: int
    headers: dict
    body: bytes

    @property
    def table(self):
        """Return the parsed JSON body; ignore the padding of `x-size`."""
        return json.loads(self.body.rstrip(b'.'))

    @property
    def reason(self):
        """Return the reason of a refusal."""
        return self.headers.get('x-limpetshore-reason')

    @property
    def verdict(self):
        """Return the verdict of a refusal."""
        return self.headers.get('x-limpetshore-verdict')


def call(address, path, *, key=KEY, headers=None, body=b'', timeout_s=20):
    """Send one POST request; return its answer, whatever the status."""
    request_headers = {'x-echo': 'echo', **(headers or {})}
    if key:
        request_headers['Authorization'] = f'Bearer {key}'
    request = urllib.request.Request(
        f'http://{address}{path}',
        data=body,
        headers=request_headers,
        method='POST',
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return read_reply(response.status, response)
    except urllib.error.HTTPError as error:
        return read_reply(error.code, error)


def read_reply(status, response):
    """Read the whole answer."""
    headers = {name.lower(): value for name, value in response.headers.items()}
    return Reply(status, headers, response.read())


def new_request_id():
    """Return a request id of the current time (ms) and a random part."""
    return f'{time.time_ns() // 10**6}-{secrets.token_hex(8)}'


def send_raw(address, request, timeout_s=10):
    """Send raw bytes and return the bytes received.

    Stop at the end of the first head, the end of the connection or a timeout.
    """
    host, port = address.split(':')
    received = b''
    with socket.create_connection((host, int(port)), timeout_s) as connection:
        connection.sendall(request)
        try:
            while chunk := connection.recv(65536):
                received += chunk
                if b'\r\n\r\n' in received:
                    break
        except TimeoutError:
            return received
    return received
