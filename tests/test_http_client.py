"""Test how client connections handle irregular answers."""

import asyncio
import socket
import struct
import time

import anyio
import pytest
import uvloop

from limpetshore.errors import (
    ConnectError,
    ConnectionLostError,
    TruncatedError,
)
from limpetshore.transport.http_client import Address, connect
from limpetshore.transport.http_pool import HttpPool
from tests.support import LOOPBACK_HOST

ADDRESS = Address(LOOPBACK_HOST, 7412)
HEADERS = [(b'host', b'x')]


def build_answer(body, *more):
    """Return the bytes of an answer with a Content-Length."""
    lines = [b'HTTP/1.1 200 OK', b'content-length: %d' % len(body), *more]
    return b'\r\n'.join([*lines, b'', body])


def reset_connection(writer):
    """Close a connection with a TCP reset."""
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        struct.pack('ii', 1, 0),
    )
    writer.transport.abort()


def run_against_script(script, work):
    """Run `work` with a pool of connections to a scripted server.

    The script lists, for each request, the pieces of bytes that the server
    sends one by one. None resets the connection and an empty piece closes it.
    """

    async def serve(reader, writer):
        for pieces in script:
            if not await reader.readuntil(b'\r\n\r\n'):
                return
            for piece in pieces:
                if piece is None:
                    reset_connection(writer)
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


@pytest.mark.parametrize('in_one_write', [True, False])
def test_surplus_answer_is_not_read(in_one_write):
    """Return only the first answer, and do not reuse the connection."""
    first, extra = build_answer(b'own'), build_answer(b'extra')
    pieces = [first + extra] if in_one_write else [first, extra]

    async def work(pool):
        body, _ = await fetch(pool)
        await asyncio.sleep(0.05)
        second_body, _ = await fetch(pool)
        return body, second_body

    script = [pieces, [build_answer(b'unused')]]
    assert run_against_script(script, work) == (b'own', b'own')


def test_answer_without_length_ends_at_close():
    """Take a clean close of the connection for the end of the body."""
    head = b'HTTP/1.1 200 OK\r\n\r\n'

    async def work(pool):
        body, connection = await fetch(pool)
        return body, connection.is_reusable

    script = [[head + b'all ', b'of it', b'']]
    assert run_against_script(script, work) == (b'all of it', False)


def test_reset_answer_without_length_is_truncated():
    """Raise TruncatedError if a reset ends a body without a length."""
    head = b'HTTP/1.1 200 OK\r\n\r\n'

    async def work(pool):
        with pytest.raises(TruncatedError):
            await fetch(pool)

    run_against_script([[head + b'part', None]], work)


def test_answer_without_length_that_is_given_up_is_truncated():
    """Take no end of a connection that this side closes for that of a body."""
    head = b'HTTP/1.1 200 OK\r\n\r\n'

    async def work(pool):
        connection = await pool.acquire()
        await connection.send_head(b'POST', b'/', HEADERS)
        await connection.read_head(2)
        assert await connection.read_chunk(2) == b'part'
        reading = asyncio.ensure_future(connection.read_chunk(2))
        await asyncio.sleep(0.01)
        connection.close()
        with pytest.raises(TruncatedError):
            await reading

    run_against_script([[head + b'part']], work)


def test_bytes_that_are_not_http_are_an_error():
    """Raise ConnectionLostError for bytes that are not HTTP."""

    async def work(pool):
        with pytest.raises(ConnectionLostError):
            await fetch(pool)

    run_against_script([[b'\x00\x01 nothing\r\n\r\n']], work)


def test_connection_with_garbage_after_answer_is_not_reused():
    """Send the next request on a new connection."""

    async def work(pool):
        body, _ = await fetch(pool)
        second_body, _ = await fetch(pool)
        return body, second_body

    script = [[build_answer(b'own') + b'\x00\x01 nothing\r\n\r\n'], []]
    assert run_against_script(script, work) == (b'own', b'own')


def test_skip_answer_reads_the_next_one():
    """Discard an answer to an earlier request and read the next one."""

    async def work(pool):
        connection = await pool.acquire()
        await connection.send_head(b'GET', b'/', HEADERS)
        await connection.read_head(2)
        await connection.skip_answer(2)
        await connection.read_head(2)
        return await connection.read_all()

    script = [[build_answer(b'stray'), build_answer(b'own')]]
    assert run_against_script(script, work) == b'own'


@pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
@pytest.mark.parametrize('rounds', range(1, 5))
def test_connection_that_opened_during_a_stall_is_not_given_up(run, rounds):
    """Look at the socket before a connection counts as late.

    A node without processor time for 0.15 s took servers for unreachable, its
    own among them, and refused calls.
    """

    async def work():
        with socket.create_server((LOOPBACK_HOST, 0)) as port:
            address = Address(*port.getsockname())
            opening = asyncio.create_task(connect(address, 0.02))
            for _ in range(rounds):
                await asyncio.sleep(0)
            time.sleep(0.04)
            (await opening).close()

    run(work())


@pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
def test_port_that_accepts_nothing_is_given_up(run):
    """Raise ConnectError if no connection opens in time."""

    async def work():
        with socket.create_server((LOOPBACK_HOST, 0), backlog=0) as port:
            address = Address(*port.getsockname())
            with socket.create_connection(address):
                with pytest.raises(ConnectError):
                    await connect(address, 0.02)

    run(work())
