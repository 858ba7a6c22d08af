"""Make calls with the blocking client of the standard library, in threads."""

import asyncio
import http.client
import time
from concurrent.futures import ThreadPoolExecutor

from standins.platform_fleet import HOST, KEY
from standins.soak import Outcome, Sent

THREADS = 64


class BlockingCalls:
    """Make the nested calls of one server, each connection in one thread.

    The client sends as soon as an answer is whole, gives up at the timeout of
    its socket, and connects again by itself only after a close that the answer
    announced.
    """

    executor = ThreadPoolExecutor(THREADS)

    def __init__(self, record, node):
        """Prepare to call the callers' port of a node."""
        self.record = record
        self.node = node
        self.idle = []

    async def call(self, label, path, left_s):
        """Make one call; return its status, 0 without a whole answer.

        Return None if the port is closed.
        """
        loop = asyncio.get_running_loop()
        request_id = self.record.next_id(label)
        try:
            client = (
                self.idle.pop()
                if self.idle
                else await loop.run_in_executor(self.executor, self.connect)
            )
        except OSError:
            return None
        sent = Sent(
            request_id,
            self.node.name,
            True,
            True,
            time.monotonic(),
            left_s,
            path,
        )
        self.record.sent[request_id] = sent
        outcome = await loop.run_in_executor(
            self.executor, self.exchange, client, sent
        )
        self.record.outcomes.append(outcome)
        if outcome.is_whole and client.sock:
            self.idle.append(client)
        else:
            client.close()
        return outcome.status if outcome.is_whole else 0

    def connect(self):
        """Return a connected client."""
        address = self.node.address(8548)
        client = http.client.HTTPConnection(address.host, address.port)
        client.connect()
        return client

    def exchange(self, client, sent):
        """Send a request and read its answer; return the outcome."""
        headers = {
            'Host': HOST,
            'Limpetshore-Request-Id': sent.request_id,
            'Limpetshore-Deadline-Ms': str(int(sent.timeout_s * 1000)),
            'Authorization': f'Bearer {KEY}',
        }
        client.sock.settimeout(sent.timeout_s + 1)
        sent = sent._replace(sent_at=time.monotonic())
        status, is_whole, is_sealed = 0, False, False
        try:
            client.request('GET', sent.path, headers=headers)
            self.record.whole_at[sent.request_id] = time.monotonic()
            answer = client.getresponse()
            status = answer.status
            is_sealed = (
                answer.getheader('limpetshore-response-seal') is not None
            )
            answer.read()
            is_whole = True
        except (OSError, http.client.HTTPException):
            self.record.whole_at.setdefault(sent.request_id, sent.sent_at)
        return Outcome(sent, status, is_whole, time.monotonic(), is_sealed)
