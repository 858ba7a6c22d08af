"""Test that defects, refusals and answers are counted."""

import pytest

from limpetshore.metrics import Metrics
from limpetshore.verdicts import Reason, Refusal, Verdict


def test_broken_invariant_is_counted_and_raised():
    """Count an exception that uvicorn would otherwise swallow."""
    metrics = Metrics()
    with pytest.raises(AssertionError), metrics.report_defects('guard'):
        raise AssertionError('more slots given back than taken')
    assert b'limpetshore_defects_total{role="guard"} 1.0' in metrics.expose()


@pytest.mark.parametrize('reason', list(Reason))
def test_every_refusal_has_a_counter(reason):
    """Count a refusal by its reason, role and verdict."""
    metrics = Metrics()
    metrics.count_refusal('ingress', Refusal(reason, Verdict.NOT_RUN))
    line = (
        'limpetshore_refusals_total{reason="%s",role="ingress",'
        'verdict="not-run"} 1.0' % reason.value
    )
    assert line.encode() in metrics.expose()


def test_answer_latency_histogram():
    """Count each answer and its latency in cumulative buckets."""
    metrics = Metrics()
    for latency_s in (0.0005, 0.02, 0.025, 9):
        metrics.observe_answer('guard', latency_s)
    shown = metrics.expose().decode()
    assert 'limpetshore_answers_total{role="guard"} 4.0' in shown
    for bound, count in (('0.001', 1), ('0.01', 1), ('0.025', 3), ('+Inf', 4)):
        labels = f'le="{bound}",role="guard"'
        assert f'call_seconds_bucket{{{labels}}} {count}.0' in shown
