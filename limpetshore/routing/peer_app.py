"""Serve the calls and probes of other nodes."""

import anyio
import msgspec

from limpetshore import clock
from limpetshore.errors import RefusedError, TruncatedError, refuse
from limpetshore.protocol.bodies import (
    AnswerSender,
    CallerDisconnectedError,
    send_refusal,
)
from limpetshore.protocol.dialects import NativeCallerDialect
from limpetshore.protocol.exchanges import (
    ANSWER_TAIL_S,
    GuardRefusalError,
    OutboundRequest,
    read_inbound_request,
)
from limpetshore.protocol.messages import (
    ANSWER_HEADER,
    CALL_HEADER,
    CallMeta,
    ProbeRequest,
    call_decoder,
    get_header,
    json_encoder,
)
from limpetshore.routing.guard import Guard
from limpetshore.routing.guard_exchange import GuardExchange
from limpetshore.routing.peer_calls import PROBE_PATH
from limpetshore.routing.relaying import relay_answer
from limpetshore.transport.server_connection import CallApp
from limpetshore.transport.responses import Headers
from limpetshore.transport.server_request import ServerRequest
from limpetshore.verdicts import Reason, Refusal

MS_PER_S = 1000
NO_CONTENT = 204
DROPPED_PEER_HEADERS = frozenset((b'content-length',))


class PeerApp(CallApp):
    """Serve calls and probes of other nodes."""

    def __init__(self, guard: Guard) -> None:
        """Serve calls with the state of `guard`."""
        self.guard = guard
        self.dialect = NativeCallerDialect()

    async def serve(self, request: ServerRequest) -> None:
        """Serve one call or probe, told apart by the path."""
        sender = AnswerSender(request, self.guard.settings.call.stall_s)
        if request.path == PROBE_PATH:
            self.answer_probe(request, sender)
            return
        try:
            meta = parse_call_meta(request.headers)
        except RefusedError as error:
            self.guard.metrics.bad_input.labels('peer_call').inc()
            send_refusal(sender, self.dialect.render(error.refusal, ''))
            return
        request.request_id = meta.request_id
        try:
            await self.serve_call(request, sender, meta)
        except Exception:
            self.guard.metrics.report_defect('guard')
            raise

    def count_lost_answer(self, ended_by: str) -> None:
        """Count an answer whose bytes were dropped."""
        self.guard.metrics.lost_answers.labels('guard', ended_by).inc()

    async def serve_call(
        self,
        request: ServerRequest,
        sender: AnswerSender,
        meta: CallMeta,
    ) -> None:
        """Read the request of one call and forward it.

        The call is cancelled if the other node closes the connection, unless
        it is non-repeatable and was already sent to the server.
        """
        call = self.guard.settings.call
        deadline = clock.now() + meta.timeout_ms / MS_PER_S
        sender.deadline = deadline + ANSWER_TAIL_S
        try:
            inbound = await read_inbound_request(
                request, DROPPED_PEER_HEADERS, call, deadline
            )
        except RefusedError as error:
            answer_meta = self.guard.build_answer_meta(error.refusal)
            wrapped = GuardRefusalError(error.refusal, answer_meta)
            self.report_refusal(sender, wrapped, meta)
            return
        except CallerDisconnectedError:
            return
        outbound = OutboundRequest(inbound, meta, deadline, request)
        if inbound.body_rest is None:
            await self.forward(outbound, sender)
            return
        async with anyio.create_task_group() as tasks:
            streamed = inbound._replace(tasks=tasks)
            await self.forward(outbound._replace(inbound=streamed), sender)
            tasks.cancel_scope.cancel()

    async def forward(
        self,
        request: OutboundRequest,
        sender: AnswerSender,
    ) -> None:
        """Send the call to the local backend server and relay the answer."""
        exchange = GuardExchange(self.guard)
        try:
            answer = await exchange.open(request)
            meta = (ANSWER_HEADER, json_encoder.encode(answer.meta))
            await relay_answer(exchange, sender, answer, [meta])
        except GuardRefusalError as error:
            self.report_refusal(sender, error, request.meta)
        except (TruncatedError, CallerDisconnectedError):
            # The server closes the connection of an incomplete answer.
            return
        finally:
            await exchange.close()

    def report_refusal(
        self,
        sender: AnswerSender,
        error: GuardRefusalError,
        meta: CallMeta,
    ) -> None:
        """Count a refusal and send it to the other node."""
        self.guard.metrics.count_refusal('guard', error.refusal)
        send_refusal(
            sender,
            self.dialect.render(error.refusal, meta.request_id),
            [(ANSWER_HEADER, json_encoder.encode(error.meta))],
        )

    def answer_probe(
        self,
        request: ServerRequest,
        sender: AnswerSender,
    ) -> None:
        """Tell whether a call arrived, and void it if it did not."""
        try:
            probe_request = msgspec.json.decode(
                get_header(request.headers, CALL_HEADER) or b'',
                type=ProbeRequest,
            )
        except msgspec.MsgspecError:
            self.guard.metrics.bad_input.labels('probe').inc()
            refusal = Refusal(Reason.BAD_REQUEST)
            send_refusal(sender, self.dialect.render(refusal, ''))
            return
        reply = json_encoder.encode(self.guard.answer_probe(probe_request))
        sender.send_complete(NO_CONTENT, [(ANSWER_HEADER, reply)], b'')


def parse_call_meta(headers: Headers) -> CallMeta:
    """Return the metadata of a call; refuse a call whose header is invalid."""
    encoded = get_header(headers, CALL_HEADER)
    try:
        return call_decoder.decode(encoded or b'')
    except msgspec.MsgspecError as error:
        raise refuse(Reason.BAD_REQUEST, f'call header: {error}') from error
