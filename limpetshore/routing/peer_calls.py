"""Forward calls to the guards of other nodes."""

import contextlib

import anyio
import msgspec

from limpetshore import clock
from limpetshore.decisions.probe_schedule import ProbeSchedule
from limpetshore.errors import (
    ConnectError,
    ConnectionLostError,
    LateAnswerError,
    PortClosedError,
    RefusedError,
    TransportError,
    TruncatedError,
    refuse,
)
from limpetshore.protocol.exchanges import (
    ANSWER_TAIL_S,
    Answer,
    Exchange,
    GuardRefusalError,
    OutboundRequest,
    find_failure_reason,
    read_chunk_within,
    send_request,
)
from limpetshore.protocol.messages import (
    ANSWER_HEADER,
    CALL_HEADER,
    AnswerMeta,
    ProbeReply,
    ProbeRequest,
    answer_decoder,
    get_header,
    json_encoder,
)
from limpetshore.transport.http_client import (
    Address,
    HttpConnection,
)
from limpetshore.transport.http_pool import HttpPool
from limpetshore.transport.responses import ResponseHead
from limpetshore.verdicts import Reason, Refusal, Verdict

PROBE_PATH = '/limpetshore/probe'
PROBE_TIMEOUT_S = 1
MAX_LOST_PROBES = 2
ANSWER_GRACE_S = 0.25
MAX_REFUSAL_BYTES = 65536
RUNNING = ProbeReply(has_arrived=True, is_running=True)


class PeerExchange(Exchange):
    """Forward one call to the guard of another node."""

    def __init__(
        self,
        pool: HttpPool,
        silence_s: float,
        stall_s: float,
        quiet_s: float,
    ) -> None:
        """Use connections of `pool`, which lead to the other node.

        `silence_s` is the time without an answer before the first probe,
        `quiet_s` the time without any byte from the node after which a probe
        is sent earlier, and `stall_s` the longest pause within an answer.
        """
        self.pool = pool
        self.quiet_s = quiet_s
        self.silence_s = silence_s
        self.stall_s = stall_s
        self.connection: HttpConnection | None = None
        self.sent_at: float = 0
        self.lost_probes = 0

    async def open(self, request: OutboundRequest) -> Answer:
        """Send the request and wait for the head of the answer."""
        try:
            self.connection = await self.pool.acquire()
        except ConnectError as error:
            raise refuse(Reason.UNREACHABLE, str(error)) from error
        meta = (CALL_HEADER, json_encoder.encode(request.meta))
        self.sent_at = clock.now()
        self.connection.end_by(request.deadline + ANSWER_TAIL_S)
        try:
            await send_request(self.connection, request.inbound, [meta])
        except (ConnectionLostError, TruncatedError) as error:
            raise await self.build_lost_error(request, error) from error
        return await self.resume(request)

    async def resume(self, request: OutboundRequest) -> Answer:
        """Wait for the head of the answer."""
        try:
            head = await self.wait_head(request)
        except (ConnectionLostError, TruncatedError) as error:
            raise await self.build_lost_error(request, error) from error
        answer = parse_answer(head)
        if answer.meta.verdict:
            await self.discard_body()
            raise GuardRefusalError(parse_refusal(answer.meta), answer.meta)
        return answer

    async def build_lost_error(
        self, request: OutboundRequest, error: TransportError
    ) -> RefusedError:
        """Build the error for a call whose connection was lost."""
        verdict = await self.probe_verdict(request)
        return refuse(find_failure_reason(error), str(error), verdict=verdict)

    async def wait_head(self, request: OutboundRequest) -> ResponseHead:
        """Wait for the head of the answer, probing a silent node.

        A node that sent no byte for `quiet_s` is probed once the answer is
        late; at size, most pairs of nodes have few calls, and that alone says
        nothing. The intervals between probes double.
        """
        schedule = ProbeSchedule(
            clock.now(),
            silence_s=self.silence_s,
            late_s=min(self.silence_s, max(self.quiet_s, request.late_after_s)),
        )
        while clock.now() < request.deadline:
            probe_at = schedule.find_due(self.quiet_since)
            head = await self.poll_head(request, probe_at)
            if head is not None:
                return head
            if clock.now() < schedule.find_due(self.quiet_since):
                continue
            schedule.restart(clock.now())
            if await self.probe_answer_lost(request):
                head = await self.wait_grace_period(request)
                if head is not None:
                    return head
        raise refuse(
            Reason.DEADLINE,
            'no answer before the deadline',
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def probe_answer_lost(self, request: OutboundRequest) -> bool:
        """Probe the other node; tell whether the answer seems lost.

        Raise if the call did not arrive there.
        """
        reply = await self.probe(request)
        if reply is None:
            self.lost_probes += 1
            return self.lost_probes >= MAX_LOST_PROBES
        self.lost_probes = 0
        self.pool.last_received_at = clock.now()
        return await self.is_answer_lost(reply)

    async def poll_head(
        self, request: OutboundRequest, probe_at: float
    ) -> ResponseHead | None:
        """Wait for the head until the next check; return None without it."""
        wait_s = self.next_wait_s(request, probe_at)
        with contextlib.suppress(TimeoutError):
            return await self.connection.read_head(wait_s)
        if self.is_overdue(request) and request.may_retry_elsewhere():
            raise LateAnswerError
        return None

    @property
    def quiet_since(self) -> float:
        """Return when a node that sends nothing more counts as quiet."""
        return self.pool.last_received_at + self.quiet_s

    def next_wait_s(self, request: OutboundRequest, probe_at: float) -> float:
        """Return the seconds to wait for the head before the next checks."""
        now = clock.now()
        wait_s = max(0, min(probe_at, request.deadline) - now)
        if request.overdue_after_s is not None:
            overdue_s = self.sent_at + request.overdue_after_s - now
            # A retry of an overdue request may become possible any time.
            wait_s = min(wait_s, overdue_s if overdue_s > 0 else self.quiet_s)
        return wait_s

    def is_overdue(self, request: OutboundRequest) -> bool:
        """Tell whether the answer takes longer than usual for its route."""
        if request.overdue_after_s is None:
            return False
        return clock.now() >= self.sent_at + request.overdue_after_s

    async def is_answer_lost(self, reply: ProbeReply) -> bool:
        """Tell whether the call has ended; raise if it did not arrive."""
        if reply.has_arrived:
            return not reply.is_running
        self.pool.close_idle()
        raise build_silent_error('the call did not arrive', Verdict.NOT_RUN)

    async def wait_grace_period(
        self, request: OutboundRequest
    ) -> ResponseHead | None:
        """Wait briefly for an answer that may still be in transit.

        Then give the call up, or return None if it must be waited for.
        """
        with contextlib.suppress(TimeoutError):
            return await self.connection.read_head(ANSWER_GRACE_S)
        if not request.may_give_up():
            return None
        if self.lost_probes:
            raise build_silent_error(
                'the other node cannot be reached any more'
            )
        self.pool.close_idle()
        raise build_silent_error('the answer was lost on the way')

    async def probe_verdict(self, request: OutboundRequest) -> Verdict:
        """Probe whether a call can have run before its connection broke."""
        if request.inbound.body_rest is not None:
            return Verdict.MAY_HAVE_RUN
        reply = await self.probe(request)
        if reply and not reply.has_arrived:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    async def probe(self, request: OutboundRequest) -> ProbeReply | None:
        """Ask on a new connection whether the call arrived.

        Return None if the probe fails. A node that stops closes its port
        before its last calls have ended.
        """
        probe_request = ProbeRequest(
            request.meta.call_id,
            clock.now() - self.sent_at + ANSWER_GRACE_S,
        )
        remaining_s = clock.seconds_until(request.deadline)
        with anyio.move_on_after(min(PROBE_TIMEOUT_S, remaining_s)):
            try:
                return await send_probe(self.pool.address, probe_request)
            except PortClosedError:
                return RUNNING
            except (TransportError, msgspec.MsgspecError):
                return None
        return None

    async def discard_body(self) -> None:
        """Read a refusal to its end, so that the connection can be reused."""
        with anyio.move_on_after(ANSWER_GRACE_S):
            try:
                await self.connection.read_all(MAX_REFUSAL_BYTES)
            except (TransportError, TimeoutError):
                return

    @property
    def has_chunk(self) -> bool:
        """Tell whether `read_chunk` returns without waiting."""
        return self.connection.has_chunk

    def take_buffered_body(self) -> bytes | None:
        """Return the body if all of it has been received, else None."""
        return self.connection.take_buffered_body()

    @property
    def is_complete(self) -> bool:
        """Tell whether all of the answer was received."""
        return self.connection.is_answer_complete

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the answer, empty at its end."""
        return await read_chunk_within(self.connection, self.stall_s)

    async def close(self) -> None:
        """Release the connection; the pool closes one not read to its end."""
        connection = self.connection
        self.connection = None
        if connection:
            self.pool.release(connection)


def parse_refusal(meta: AnswerMeta) -> Refusal:
    """Return the refusal in the metadata of an answer."""
    try:
        return Refusal(
            Reason(meta.reason),
            Verdict(meta.verdict),
            meta.retry_after_s,
        )
    except ValueError:
        return Refusal(Reason.BROKEN, Verdict.MAY_HAVE_RUN)


def build_silent_error(
    detail: str,
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
) -> RefusedError:
    """Build the error for a call whose node does not answer."""
    return refuse(Reason.SILENT, detail, verdict=verdict)


def parse_answer(head: ResponseHead) -> Answer:
    """Return the answer of another node with its decoded metadata."""
    encoded = get_header(head.headers, ANSWER_HEADER)
    try:
        meta = answer_decoder.decode(encoded or b'')
    except msgspec.MsgspecError as error:
        raise refuse(
            Reason.BROKEN,
            f'answer header: {error}',
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error
    return Answer(head, meta)


async def send_probe(
    address: Address, probe_request: ProbeRequest
) -> ProbeReply:
    """Probe another node for a call, on a new connection."""
    async with HttpPool(address, 0).connection() as connection:
        await connection.send_head(
            b'GET',
            PROBE_PATH.encode(),
            [
                (b'host', b'peer'),
                (CALL_HEADER, json_encoder.encode(probe_request)),
            ],
        )
        head = await connection.read_head()
    return msgspec.json.decode(
        get_header(head.headers, ANSWER_HEADER) or b'',
        type=ProbeReply,
    )
