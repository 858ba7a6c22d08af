"""Relay an answer to the caller while it is received."""

from limpetshore import clock
from limpetshore.protocol.bodies import AnswerSender
from limpetshore.protocol.exchanges import Answer, Exchange
from limpetshore.protocol.messages import strip_hop_headers
from limpetshore.transport.responses import Headers

NO_DROPPED_HEADERS: frozenset[bytes] = frozenset()


async def relay_answer(
    exchange: Exchange,
    sender: AnswerSender,
    answer: Answer,
    extra: Headers,
) -> None:
    """Relay an answer in chunks, or at once if it is already complete.

    Once all of it is here, a caller may take its time to read it.
    """
    headers = strip_hop_headers(answer.head.headers, NO_DROPPED_HEADERS)
    headers += extra
    body = exchange.take_buffered_body()
    if body is not None:
        sender.send_complete(answer.head.status, headers, body)
        return
    sender.start(answer.head.status, headers)
    if not exchange.has_chunk:
        sender.request.flush_head()
    while chunk := await exchange.read_chunk():
        if exchange.is_complete:
            sender.deadline = clock.NO_DEADLINE
        await sender.send_body(chunk, is_last=False)
    await sender.send_body(b'', is_last=True)
