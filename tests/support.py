"""Share what several test modules need."""

import json
import secrets
import socket
import time
import urllib.error
import urllib.request
from typing import NamedTuple

from tests.builders import KEY


class Reply(NamedTuple):
    """Hold an answer as a caller sees it."""

    status: int
    headers: dict
    body: bytes

    @property
    def table(self):
        """Return the JSON body."""
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
    """Send one request."""
    sent = {'x-echo': 'echo', **(headers or {})}
    if key:
        sent['Authorization'] = f'Bearer {key}'
    request = urllib.request.Request(
        f'http://{address}{path}',
        data=body,
        headers=sent,
        method='POST',
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return to_reply(response.status, response)
    except urllib.error.HTTPError as error:
        return to_reply(error.code, error)


def to_reply(status, response):
    """Read an answer to its end."""
    headers = {name.lower(): value for name, value in response.headers.items()}
    return Reply(status, headers, response.read())


def new_request_id():
    """Return a request id born now."""
    return f'{time.time_ns() // 10**6}-{secrets.token_hex(8)}'


def send_raw(address, request, timeout_s=10):
    """Send raw bytes and return all that comes back."""
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
