"""Define the Prometheus metrics of a process."""

import contextlib
import itertools
from collections.abc import Iterator

from logbook import Logger
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    generate_latest,
)
from prometheus_client.process_collector import ProcessCollector

from limpetshore.answer_latency import AnswerLatencyCollector
from limpetshore.verdicts import Reason, Refusal, Verdict

logger = Logger(__name__)

ROLES = ('ingress', 'guard')
REFUSING_VERDICTS = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)


class Metrics:
    """Hold the metrics of one process.

    The labelled counters of refusals and retries are looked up once, not on
    every call.
    """

    def __init__(self) -> None:
        """Register every metric."""
        registry = CollectorRegistry()
        self.registry = registry
        ProcessCollector(registry=registry)
        self.refusals = Counter(
            'limpetshore_refusals',
            'Requests refused, by role, reason and verdict',
            ('role', 'reason', 'verdict'),
            registry=registry,
        )
        self.retries = Counter(
            'limpetshore_retries',
            'Attempts beyond the first, by the reason of the one before',
            ('reason',),
            registry=registry,
        )
        self.retries_withheld = Counter(
            'limpetshore_retries_withheld',
            'Retries not made, by what forbade them',
            ('cause',),
            registry=registry,
        )
        self.own_answers = Counter(
            'limpetshore_own_answers',
            'Requests passed on to a server that the node ended itself',
            ('reason', 'leaving'),
            registry=registry,
        )
        self.lost_answers = Counter(
            'limpetshore_lost_answers',
            'Answers with bytes dropped, by role and who ended the connection',
            ('role', 'ended_by'),
            registry=registry,
        )
        self.answer_latency = AnswerLatencyCollector(ROLES)
        registry.register(self.answer_latency)
        self.bad_input = Counter(
            'limpetshore_bad_input',
            'Records and messages ignored, by source',
            ('source',),
            registry=registry,
        )
        self.store_calls = Counter(
            'limpetshore_store_calls',
            'Calls to the object API, by kind and outcome',
            ('kind', 'outcome'),
            registry=registry,
        )
        self.control_bytes = Counter(
            'limpetshore_control_bytes',
            'Payload bytes of control messages, by direction',
            ('direction',),
            registry=registry,
        )
        self.control_calls = Counter(
            'limpetshore_control_calls',
            'Control calls to other nodes, by kind and outcome',
            ('kind', 'outcome'),
            registry=registry,
        )
        self.defects = Counter(
            'limpetshore_defects',
            'Calls ended by a broken invariant or an unforeseen error, by role',
            ('role',),
            registry=registry,
        )
        self.config_version = Gauge(
            'limpetshore_config_version',
            'Store version of the policy in force',
            registry=registry,
        )
        self.in_flight = Gauge(
            'limpetshore_in_flight',
            'Requests now at the local backend server',
            registry=registry,
        )
        self.limit = Gauge(
            'limpetshore_concurrency_limit',
            'Requests allowed at the local backend server',
            registry=registry,
        )
        self.waiting = Gauge(
            'limpetshore_waiting',
            'Requests that wait for a slot',
            registry=registry,
        )
        self.members_alive = Gauge(
            'limpetshore_members_alive',
            'Nodes seen alive, this one included',
            registry=registry,
        )
        self.stalled_s = Counter(
            'limpetshore_event_loop_stalled_seconds',
            'Seconds for which the event loop stood still, in long stalls',
            registry=registry,
        )
        self.refusal_children = {
            labels: self.refusals.labels(*labels)
            for labels in itertools.product(ROLES, Reason, REFUSING_VERDICTS)
        }
        self.retry_children = {
            reason: self.retries.labels(reason.value) for reason in Reason
        }

    @contextlib.contextmanager
    def report_defects(self, role: str) -> Iterator[None]:
        """Count and log an unexpected exception, then raise it again."""
        try:
            yield
        except Exception:
            self.report_defect(role)
            raise

    def report_defect(self, role: str) -> None:
        """Count and log the unexpected exception that is being handled."""
        self.defects.labels(role).inc()
        logger.exception('unexpected exception ({0})', role)

    def count_refusal(self, role: str, refusal: Refusal) -> None:
        """Count one refusal by its role, reason and verdict."""
        labels = (role, refusal.reason, refusal.verdict)
        self.refusal_children[labels].inc()

    def observe_answer(self, role: str, latency_s: float) -> None:
        """Count a complete answer that took `latency_s` seconds."""
        self.answer_latency.roles[role].observe(latency_s)

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
