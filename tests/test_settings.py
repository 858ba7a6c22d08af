"""Test the check and the reference page of settings."""

from pathlib import Path

import pytest

from limpetshore.errors import SettingsError
from limpetshore.settings import (
    FleetSection,
    check_settings,
)
from limpetshore.settings_reference import describe_settings

REFERENCE = Path(__file__).parent.parent / 'docs' / 'settings.md'


def build_tables(**changes):
    """Return the smallest valid settings, with some tables replaced."""
    tables = {
        'node': {'name': 'stock-1', 'zone': 'zone-a'},
        'listen': {
            'callers': '127.0.0.1:7000',
            'peers': '127.0.0.1:7001',
            'control': '127.0.0.1:7002',
            'admin': '127.0.0.1:7003',
        },
        'backend': {'service': 'stock', 'address': '127.0.0.1:7004'},
        'store': {'address': '127.0.0.1:7005'},
    }
    return tables | changes


@pytest.mark.parametrize('revoke_s', [1, 5, 60])
def test_waits_lie_within_the_bounds_of_the_platform(revoke_s):
    """Refuse keys and read the store before the bounds, whatever these are."""
    fleet = FleetSection(apply_s=revoke_s * 2, revoke_s=revoke_s)
    assert fleet.reading_bound_s <= fleet.lapse_s < revoke_s
    assert FleetSection(apply_s=revoke_s, cut_off_s=99).lapse_s == 99


def test_reference_page_matches_the_code():
    """Compare docs/settings.md with the output of `limpetshore settings`."""
    assert REFERENCE.read_text().strip() == describe_settings().strip()


def test_required_settings_are_sufficient():
    """Use the default of every other setting."""
    settings = check_settings(build_tables())
    assert settings.fleet.takeover_s >= 3 * settings.fleet.fence_s


@pytest.mark.parametrize(
    ('changes', 'setting'),
    [
        ({'node': {'name': 'A b', 'zone': 'z'}}, 'node.name'),
        ({'node': 3}, 'node'),
        ({'call': {'stall_s': 0}}, 'call.stall_s'),
        ({'call': {'stall_s': 'soon'}}, 'call.stall_s'),
        ({'call': {'stal_s': 1}}, 'call.stal_s'),
        ({'cal': {}}, 'cal'),
        ({'backend': {'service': 's', 'address': '1.2.3:4'}}, 'backend'),
        ({'store': {'address': '1.2.3.400:4'}}, 'store.address'),
        ({'store': {'address': '1.2.3.4:99999'}}, 'store.address'),
        ({'fleet': {'fence_s': 20}}, 'fleet.takeover_s'),
        ({'backend': {'address': '127.0.0.1:1'}}, 'backend.service'),
    ],
)
def test_mistake_message_starts_with_the_setting(changes, setting):
    """Report each mistake with the name of its setting."""
    with pytest.raises(SettingsError) as caught:
        check_settings(build_tables(**changes))
    assert any(line.startswith(setting) for line in caught.value.mistakes)
