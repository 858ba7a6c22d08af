"""Hold what all calls to the local backend server share."""

from limpetshore.decisions.admission import AdmissionController
from limpetshore.decisions.concurrency_limits import (
    AnnouncedLimit,
    ConcurrencyLimit,
)
from limpetshore.decisions.shedding import NestedRefusalShare
from limpetshore.metrics import Metrics
from limpetshore.protocol.dialects import BackendDialect
from limpetshore.protocol.messages import (
    MAX_STORE_AGE_S,
    AnswerMeta,
    ProbeReply,
    ProbeRequest,
)
from limpetshore.routing.calls import ArrivalLog, RunningCall, RunningCalls
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.state.backends import LocalBackend
from limpetshore.state.deduplication import RequestDeduplicator
from limpetshore.state.fencing import FencingState
from limpetshore.transport.http_pool import HttpPool
from limpetshore.verdicts import Refusal

ANNOUNCED_LIMIT = 'announced'


class Guard:
    """Hold the state shared by all calls to the local backend server."""

    def __init__(
        self,
        settings: NodeSettings,
        metrics: Metrics,
        fencing: FencingState,
        dialect: BackendDialect,
    ) -> None:
        """Start with one slot, before the server announces itself."""
        self.dialect = dialect
        self.settings = settings
        self.metrics = metrics
        self.answer_latency = metrics.answer_latency.roles['guard']
        self.fencing = fencing
        call = settings.call
        admission = settings.admission
        address = parse_address(settings.backend.address)
        self.pool = HttpPool(address, call.max_idle_s, call.connect_s)
        self.calls_from = settings.backend.calls_from or address.host
        self.backend = LocalBackend(
            settings.backend.max_slots,
            settings.backend.announce_lapse_s,
        )
        self.running_calls = RunningCalls()
        self.nested_refusals = NestedRefusalShare()
        self.arrivals = ArrivalLog()
        self.open_calls: set[str] = set()
        self.deduplicator = RequestDeduplicator(
            settings.fleet.id_window_s,
            settings.fleet.clock_skew_s,
        )
        self.admission = AdmissionController(
            self.build_limit(1),
            queue_per_slot=admission.queue_per_slot,
            max_wait_s=admission.max_wait_s,
        )
        self.is_leaving = False
        self.policy_version = 0

    def build_limit(self, slots: int) -> ConcurrencyLimit:
        """Return the concurrency limit for a server that has just started."""
        admission = self.settings.admission
        if admission.limit == ANNOUNCED_LIMIT:
            return AnnouncedLimit(slots, slot_share=admission.slot_share)
        return ConcurrencyLimit(
            slots,
            initial_share=admission.initial_share,
            probe_s=admission.probe_s,
        )

    @property
    def accepts_work(self) -> bool:
        """Tell whether new calls may be admitted."""
        return (
            self.backend.is_ready
            and not self.is_leaving
            and not self.fencing.is_drained
        )

    def apply_announcement(self, *, is_new: bool) -> None:
        """Resize the concurrency limit to the announced slots.

        A new server gets a new limit, since it starts cold.
        """
        limit = self.admission.limit
        if is_new:
            self.admission.limit = self.build_limit(self.backend.slots)
        else:
            limit.resize(self.backend.slots)
        self.admission.admit_waiting()

    def answer_probe(self, request: ProbeRequest) -> ProbeReply:
        """Tell whether a call arrived; void it if it did not."""
        is_voided = self.arrivals.void(request.call_id, request.age_s)
        return ProbeReply(not is_voided, request.call_id in self.open_calls)

    def find_downstream_level(self, call: RunningCall | None) -> float:
        """Return the admission level downstream.

        The result is the higher of the level reported to `call` and the share
        of recent nested calls refused for lack of capacity.
        """
        level = call.downstream_level if call else 0
        return round(max(level, self.nested_refusals.read()), 3)

    def build_answer_meta(
        self,
        refusal: Refusal | None = None,
        call: RunningCall | None = None,
    ) -> AnswerMeta:
        """Return the metadata sent to the ingress with an answer."""
        return AnswerMeta(
            verdict=refusal.verdict.value if refusal else '',
            reason=refusal.reason.value if refusal else '',
            retry_after_s=refusal.retry_after_s if refusal else 0,
            retries_spent=call.budget.spent if call else 0,
            level=round(self.admission.level.read(), 3),
            downstream_level=self.find_downstream_level(call),
            load=round(self.admission.load, 3),
            service_time_s=round(self.admission.service_time_s, 4),
            policy_version=self.policy_version,
            store_age_s=min(
                MAX_STORE_AGE_S, round(self.fencing.store_age_s, 2)
            ),
        )
