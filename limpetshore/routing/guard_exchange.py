"""Forward one call to the local backend server."""

from logbook import Logger

from limpetshore import clock
from limpetshore.errors import (
    ConnectError,
    ConnectionLostError,
    RefusedError,
    TransportError,
    refuse,
)
from limpetshore.protocol.dialects import BackendCall
from limpetshore.protocol.exchanges import (
    ANSWER_TAIL_S,
    Answer,
    Exchange,
    GuardRefusalError,
    OutboundRequest,
    find_failure_reason,
    read_chunk_within,
    read_head_by,
    send_request,
    skip_answer_by,
)
from limpetshore.protocol.messages import (
    CallMeta,
)
from limpetshore.routing.calls import (
    CallContext,
    RunningCall,
)
from limpetshore.state.deduplication import (
    parse_request_id,
)
from limpetshore.transport.http_client import HttpConnection
from limpetshore.transport.responses import Headers, ResponseHead
from limpetshore.verdicts import Reason, Verdict

from limpetshore.routing.guard import Guard

logger = Logger(__name__)

MIN_SERVER_ERROR_STATUS = 500
MAX_STALE_ANSWERS = 3
MAX_FRESH_IDLE_S = 0.5
MAX_REFUSED_IDS = 100  # of the requests refused on one connection


class GuardExchange(Exchange):
    """Forward one call to the local backend server."""

    def __init__(self, guard: Guard) -> None:
        """Prepare; `open` acquires the slot and the connection."""
        self.guard = guard
        self.meta: CallMeta | None = None
        self.call: RunningCall | None = None
        self.token = ''
        self.connection: HttpConnection | None = None
        self.has_slot = False
        self.has_failed = False
        self.started_at: float = 0

    async def open(self, request: OutboundRequest) -> Answer:
        """Admit the call, send it to the server and wait for the answer."""
        self.meta = request.meta
        try:
            return await self.admit_and_send(request)
        except RefusedError as error:
            answer_meta = self.guard.build_answer_meta(error.refusal, self.call)
            raise GuardRefusalError(error.refusal, answer_meta) from error

    async def admit_and_send(self, request: OutboundRequest) -> Answer:
        """Perform the steps of a call up to the head of its answer."""
        guard = self.guard
        self.check_accepted(request.meta)
        instance = guard.backend.instance
        self.claim_request_id(request.meta)
        guard.open_calls.add(request.meta.call_id)
        try:
            await self.acquire_slot(request)
            connection = await self.connect()
            self.check_instance(instance)
        except BaseException:
            self.release_request_id(request.meta)
            raise
        return await self.send_and_wait(request, connection)

    def check_accepted(self, meta: CallMeta) -> None:
        """Refuse a call that is voided, misrouted or not accepted now."""
        guard = self.guard
        if not guard.arrivals.record_arrival(meta.call_id):
            raise refuse(Reason.SILENT, 'the call came after it was given up')
        if meta.service != guard.settings.backend.service:
            raise refuse(Reason.NOT_OWNER, 'another service runs here')
        if not guard.accepts_work:
            raise refuse(Reason.DRAINING, 'the server takes no new work')

    def check_instance(self, instance: str) -> None:
        """Refuse a call if its server was replaced while it waited.

        Another server may have the address, also of another service.
        """
        backend = self.guard.backend
        if backend.announcement is None or backend.instance != instance:
            raise refuse(Reason.NOT_OWNER, 'the server has been replaced')

    def claim_request_id(self, meta: CallMeta) -> None:
        """Claim the id of a non-repeatable request that did not run before."""
        if meta.is_repeatable or not meta.is_id_from_caller:
            return
        guard = self.guard
        request_id = parse_request_id(meta.request_id)
        if request_id is None:
            raise refuse(Reason.REQUEST_ID, 'no time of birth in the id')
        guard.fencing.check_request_id_owner(meta.request_id)
        if not guard.deduplicator.claim(request_id):
            raise refuse(
                Reason.REPEATED,
                'a request of this id may have run before',
                verdict=Verdict.MAY_HAVE_RUN,
            )

    def release_request_id(self, meta: CallMeta) -> None:
        """Release the id of a request that certainly did not run."""
        if meta.is_repeatable or not meta.is_id_from_caller:
            return
        request_id = parse_request_id(meta.request_id)
        if request_id is not None:
            self.guard.deduplicator.release(request_id)

    async def acquire_slot(self, request: OutboundRequest) -> None:
        """Wait for a slot of the concurrency limit."""
        meta = request.meta
        await self.guard.admission.acquire(
            meta.customer,
            meta.importance,
            request.deadline,
            meta.precedence,
        )
        self.has_slot = True

    async def connect(self) -> HttpConnection:
        """Return a connection to the server.

        A non-repeatable request gets a connection used a moment ago or a new
        one, because the server may be closing an idle connection.
        """
        max_idle_s = None if self.meta.is_repeatable else MAX_FRESH_IDLE_S
        try:
            connection = await self.guard.pool.acquire(max_idle_s)
            while not self.may_carry_request(connection):
                connection.close()
                connection = await self.guard.pool.acquire(max_idle_s)
        except ConnectError as error:
            self.guard.backend.mark_unreachable()
            raise refuse(Reason.UNREACHABLE, str(error)) from error
        self.connection = connection
        return connection

    def may_carry_request(self, connection: HttpConnection) -> bool:
        """Tell whether no earlier refusal can be taken for that of this call.

        A second copy of a refusal names the same request as its retry does.
        """
        refused_ids = connection.refused_ids
        return (
            self.meta.request_id not in refused_ids
            and len(refused_ids) < MAX_REFUSED_IDS
        )

    async def send_and_wait(
        self,
        request: OutboundRequest,
        connection: HttpConnection,
    ) -> Answer:
        """Send the request and wait for the head of the answer."""
        self.register_call(request)
        self.started_at = clock.now()
        connection.end_by(request.deadline + ANSWER_TAIL_S)
        if request.peer_request and not request.meta.is_repeatable:
            request.peer_request.survives_disconnect = True
        try:
            extra = self.build_headers(request)
            await send_request(connection, request.inbound, extra)
            head = await self.read_matching_head(connection, request)
        except TransportError as error:
            raise refuse(
                find_failure_reason(error),
                str(error),
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        not_run_reason = self.guard.dialect.find_not_run_reason(head)
        if not_run_reason == Reason.NOT_OWNER:
            logger.warning(
                'answer is not from server {0}; waiting for a new announcement',
                self.guard.backend.instance,
                extra={'request_id': request.meta.request_id},
            )
            self.guard.backend.forget_announcement()
        elif not_run_reason is not None:
            self.guard.admission.limit.observe_shed()
        if not_run_reason is not None:
            connection.refused_ids.add(request.meta.request_id)
            connection.take_buffered_body()  # so that it can be used again
            self.release_request_id(request.meta)
            raise refuse(not_run_reason, 'the server did not run the request')
        self.has_failed = head.status >= MIN_SERVER_ERROR_STATUS
        answer_meta = self.guard.build_answer_meta(call=self.call)
        self.call.budget.close()
        return Answer(head, answer_meta)

    async def read_matching_head(
        self,
        connection: HttpConnection,
        request: OutboundRequest,
    ) -> ResponseHead:
        """Return the head of the answer; skip answers to earlier requests."""
        dialect = self.guard.dialect
        request_id = request.meta.request_id
        for _ in range(MAX_STALE_ANSWERS):
            head = await read_head_by(connection, request.deadline)
            if not dialect.is_stale(head, request_id):
                break
            await skip_answer_by(connection, request.deadline)
        if connection.request_count > 1 and dialect.is_anonymous(head):
            # It may be a copy of the answer to an earlier request.
            raise ConnectionLostError('the answer names no request')
        answer_error = dialect.find_answer_error(head, request_id)
        if answer_error:
            raise ConnectionLostError(answer_error)
        return head

    def register_call(self, request: OutboundRequest) -> None:
        """Register the call, so that the server can make nested calls."""
        meta = request.meta
        context = CallContext(
            meta.customer,
            meta.importance,
            request.deadline,
            meta.request_id,
            meta.depth,
            meta.precedence,
        )
        self.call = RunningCall(context, meta.retries_left)
        self.token = self.guard.running_calls.start(self.call)

    def build_headers(self, request: OutboundRequest) -> Headers:
        """Return the headers that describe the call to the server."""
        meta = request.meta
        call = BackendCall(
            meta.request_id,
            meta.customer,
            meta.caller_service,
            self.token,
            request.deadline - clock.now(),
        )
        instance = self.guard.backend.instance
        return self.guard.dialect.build_headers(call, instance)

    @property
    def has_chunk(self) -> bool:
        """Tell whether `read_chunk` returns without waiting."""
        return self.connection.has_chunk

    def take_buffered_body(self) -> bytes | None:
        """Return the body if all of it has been received, else None."""
        body = self.connection.take_buffered_body()
        if body is not None:
            self.record_complete_answer()
        return body

    @property
    def is_complete(self) -> bool:
        """Tell whether all of the answer was received."""
        return self.connection.is_answer_complete

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the answer, empty at its end."""
        stall_s = self.guard.settings.call.stall_s
        chunk = await read_chunk_within(self.connection, stall_s)
        if not chunk:
            self.record_complete_answer()
        return chunk

    def record_complete_answer(self) -> None:
        """Record the latency of a complete answer.

        The latency of a server error goes only to the metrics, not to the
        admission control.
        """
        guard = self.guard
        latency_s = clock.now() - self.started_at
        if not self.has_failed:
            guard.admission.observe(latency_s)
        guard.answer_latency.observe(latency_s)

    async def close(self) -> None:
        """End the call; release its slot and its connection."""
        guard = self.guard
        guard.running_calls.finish(self.token)
        if self.meta:
            guard.open_calls.discard(self.meta.call_id)
        if self.has_slot:
            self.has_slot = False
            guard.admission.release(self.meta.customer)
        connection = self.connection
        self.connection = None
        if connection:
            guard.pool.release(connection)
