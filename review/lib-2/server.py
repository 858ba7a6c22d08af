# flake8: noqa
"""Serve as the backend server beside one node, in a process of its own.

Arguments: host, service, instance, then `name=value` pairs:
in the `for` seconds after SIGUSR1, `endless=SHARE` of the requests get an answer
whose body has no end, in chunks of `piece` bytes. After SIGUSR2 it sends
DELETE, sends no more heartbeats and goes on serving; its health check then
fails, unless `lying=1`.
"""

import asyncio
import json
import random
import signal
import sys
import time
from urllib.parse import parse_qsl

HOST, SERVICE, INSTANCE = sys.argv[1:4]
OPTIONS = dict(pair.split('=') for pair in sys.argv[4:])
ENDLESS = float(OPTIONS.get('endless', '0'))
FOR_S = float(OPTIONS.get('for', '5'))
PIECE = int(OPTIONS.get('piece', '2'))
IS_LYING = OPTIONS.get('lying') == '1'
MAX_ENDLESS = int(OPTIONS.get('most', '1000'))
BORN = int(time.time() * 1000)
SLOTS = 100
HEARTBEAT_S = 1.5
PIECE_OF_ANSWER = 16384


async def read_body(reader, fields):
    """Return the body of a request, framed as HTTP/1.1 says."""
    if fields.get('transfer-encoding') == 'chunked':
        chunks = []
        while size := int(await reader.readline(), 16):
            chunks.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b'\r\n')
        return b''.join(chunks)
    return await reader.readexactly(int(fields.get('content-length', '0')))


class Server:
    def __init__(self):
        self.troubled_until = 0.0
        self.endless_count = 0
        self.has_left = False
        self.rng = random.Random(7)
        piece = b'%x\r\n%b\r\n' % (PIECE, b'x' * PIECE)
        self.blob = piece * max(1, 65536 // len(piece))

    def begin_trouble(self):
        self.troubled_until = time.monotonic() + FOR_S

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ')
                fields = dict(
                    line.lower().split(': ', 1)
                    for line in lines[1:]
                    if ': ' in line
                )
                if target.startswith('/early/'):
                    # Full: rejected before the body is in, which is read later.
                    writer.write(
                        b'HTTP/1.1 503 Service Unavailable\r\n'
                        b'limpetshore-request-id: %b\r\nlimpetshore-not-executed: 1\r\n'
                        b'content-length: 0\r\n\r\n'
                        % fields['limpetshore-request-id'].encode()
                    )
                    rest = await read_body(reader, fields)
                    print(
                        'rest',
                        fields['limpetshore-request-id'],
                        rest,
                        flush=True,
                    )
                    continue
                body = await read_body(reader, fields)
                await self.answer(writer, method, target, fields, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, target, fields, body):
        if target == '/healthz':
            is_failing = self.has_left and not IS_LYING
            status = b'503 Service Unavailable' if is_failing else b'200 OK'
            writer.write(
                b'HTTP/1.1 %b\r\nlimpetshore-instance-id: %b\r\n'
                b'content-length: 0\r\n\r\n' % (status, INSTANCE.encode())
            )
            return
        expected = fields.get('limpetshore-expected-instance', INSTANCE.lower())
        if expected != INSTANCE.lower():
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n'
            )
            return
        request_id = fields['limpetshore-request-id'].encode()
        query = dict(parse_qsl(target.partition('?')[2]))
        left_s = int(fields.get('limpetshore-deadline-ms', '60000')) / 1000
        work_s = int(query.get('work', '20')) / 1000
        print(
            'ran',
            request_id.decode(),
            method,
            target,
            len(body),
            f'{time.time():.3f}',
            flush=True,
        )
        if work_s > left_s:
            await asyncio.sleep(left_s)
            writer.write(
                b'HTTP/1.1 504 Gateway Timeout\r\nlimpetshore-request-id: %b\r\n'
                b'limpetshore-response-seal: s.%b\r\ncontent-length: 0\r\n\r\n'
                % (request_id, request_id)
            )
            return
        await asyncio.sleep(work_s)
        head = (
            b'HTTP/1.1 200 OK\r\nlimpetshore-request-id: %b\r\n'
            b'limpetshore-response-seal: s.%b\r\n' % (request_id, request_id)
        )
        is_troubled = time.monotonic() < self.troubled_until
        if (
            is_troubled
            and self.endless_count < MAX_ENDLESS
            and self.rng.random() < ENDLESS
        ):
            self.endless_count += 1
            print(
                'endless', request_id.decode(), f'{time.time():.3f}', flush=True
            )
            writer.write(head + b'transfer-encoding: chunked\r\n\r\n')
            while True:  # until the caller closes
                writer.write(self.blob)
                await writer.drain()
                await asyncio.sleep(0)
        size = int(query.get('size', '4'))
        answer = (request_id + b'.') * (size // (len(request_id) + 1) + 1)
        writer.write(head + b'content-length: %d\r\n\r\n' % size)
        for start in range(0, size, PIECE_OF_ANSWER):
            if start:
                await writer.drain()
                await asyncio.sleep(int(query.get('pause', '0')) / 1000)
            writer.write(answer[start : min(size, start + PIECE_OF_ANSWER)])

    async def beat(self):
        sequence = 0
        while not self.has_left:
            sequence += 1
            content = json.dumps(
                {
                    'service': SERVICE,
                    'address': f'{HOST}:8547',
                    'slots': SLOTS,
                    'state': 'ready',
                    'sequence': sequence,
                    'born': BORN,
                }
            ).encode()
            await self.report(b'PUT', content)
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self):
        self.has_left = True
        while not await self.report(b'DELETE', b''):
            await asyncio.sleep(0.2)
        print('left', f'{time.time():.3f}', flush=True)

    async def report(self, method, content):
        """Call the node beside this server; return whether it acknowledged."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(HOST, 8540)
                writer.write(
                    b'%b /instances/%b HTTP/1.1\r\nhost: x\r\n'
                    b'content-type: application/json\r\ncontent-length: %d\r\n\r\n%b'
                    % (method, INSTANCE.encode(), len(content), content)
                )
                line = await reader.readline()
                writer.close()
                return line.startswith(b'HTTP/1.1 200')
        except (OSError, TimeoutError) as error:
            print(
                'report failed', repr(error), f'{time.time():.3f}', flush=True
            )
            return False


async def main():
    server = Server()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, server.begin_trouble)
    tasks = set()
    loop.add_signal_handler(
        signal.SIGUSR2, lambda: tasks.add(loop.create_task(server.leave()))
    )
    listener = await asyncio.start_server(server.serve, HOST, 8547)
    async with listener:
        await server.beat()
        await asyncio.Event().wait()


asyncio.run(main())
