"""Check what a connection makes of answers that are not as they should be."""

import asyncio
import socket
import struct

import anyio
import pytest

from limpetshore.errors import ConnectionLostError, TruncatedError
from limpetshore.transport.http_client import Address, HttpPool

ADDRESS = Address('127.0.9.8', 7412)
HEADERS = [(b'host', b'x')]


def answer(body, *more):
    """Return the bytes of an answer with a length."""
    lines = [b'HTTP/1.1 200 OK', b'content-length: %d' % len(body), *more]
    return b'\r\n'.join([*lines, b'', body])


def reset(writer):
    """Close a connection with a reset instead of a clean end."""
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        struct.pack('ii', 1, 0),
    )
    writer.transport.abort()


def exchange(script, work):
    """Run some work against a server that follows a script for each request.

    The script is a list of bytes to send at once; None resets and an empty
    piece closes the connection.
    """

    async def serve(reader, writer):
        for pieces in script:
            if not await reader.readuntil(b'\r\n\r\n'):
                return
            for piece in pieces:
                if piece is None:
                    reset(writer)
                    return
                if not piece:
                    writer.close()
                    return
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01)
        await reader.read()

    async def run():
        server = await asyncio.start_server(serve, *ADDRESS)
        pool = HttpPool(ADDRESS, 5)
        try:
            return await work(pool)
        finally:
            pool.close_idle()
            server.close()

    return anyio.run(run)


async def fetch(pool):
    """Send one request and return the body and the connection."""
    connection = await pool.acquire()
    await connection.send_head(b'GET', b'/', HEADERS)
    await connection.read_head(2)
    body = await connection.read_all()
    pool.release(connection)
    return body, connection


@pytest.mark.parametrize('together', [True, False])
def test_second_answer_is_not_part_of_the_first(together):
    """Keep one answer apart from what follows, and drop the connection."""
    first, extra = answer(b'own'), answer(b'extra')
    pieces = [first + extra] if together else [first, extra]

    async def work(pool):
        body, _ = await fetch(pool)
        await asyncio.sleep(0.05)
        again, _ = await fetch(pool)
        return body, again

    script = [pieces, [answer(b'unused')]]
    assert exchange(script, work) == (b'own', b'own')


def test_answer_without_length_ends_with_its_connection():
    """Take a clean end for the end of the body."""
    head = b'HTTP/1.1 200 OK\r\n\r\n'

    async def work(pool):
        body, connection = await fetch(pool)
        return body, connection.is_reusable

    script = [[head + b'all ', b'of it', b'']]
    assert exchange(script, work) == (b'all of it', False)


def test_reset_answer_without_length_is_truncated():
    """Tell a reset from a clean end."""
    head = b'HTTP/1.1 200 OK\r\n\r\n'

    async def work(pool):
        with pytest.raises(TruncatedError):
            await fetch(pool)

    exchange([[head + b'part', None]], work)


def test_garbage_is_not_an_answer():
    """Report bytes that are not HTTP."""

    async def work(pool):
        with pytest.raises(ConnectionLostError):
            await fetch(pool)

    exchange([[b'\x00\x01 nothing\r\n\r\n']], work)


def test_connection_with_garbage_behind_an_answer_is_dropped():
    """Send the next request on a connection that nothing damaged."""

    async def work(pool):
        body, _ = await fetch(pool)
        again, _ = await fetch(pool)
        return body, again

    script = [[answer(b'own') + b'\x00\x01 nothing\r\n\r\n'], []]
    assert exchange(script, work) == (b'own', b'own')


def test_answer_to_an_earlier_request_is_skipped():
    """Read on to the next answer when the first is a stray one."""

    async def work(pool):
        connection = await pool.acquire()
        await connection.send_head(b'GET', b'/', HEADERS)
        await connection.read_head(2)
        await connection.skip_answer()
        await connection.read_head(2)
        return await connection.read_all()

    script = [[answer(b'stray'), answer(b'own')]]
    assert exchange(script, work) == b'own'
