"""Test which servers of a large service each node uses."""

from collections import Counter

import pytest

from limpetshore.decisions.subsetting import (
    MAX_LOCAL_SERVERS,
    MAX_REMOTE_SERVERS,
    choose_subset,
)
from tests.builders import build_node_state

ZONES = ('a', 'b', 'c', 'd', 'e', 'f')
MAX_SERVERS = MAX_LOCAL_SERVERS + MAX_REMOTE_SERVERS


def build_servers(count):
    """Return servers spread evenly over the zones."""
    return [
        build_node_state(f'server-{number}', zone=ZONES[number % len(ZONES)])
        for number in range(count)
    ]


def choose_for_all(node_count, servers):
    """Return the names of the servers that each node uses."""
    return [
        {
            server.name
            for server in choose_subset(
                f'node-{number}', ZONES[number % len(ZONES)], servers
            )
        }
        for number in range(node_count)
    ]


@pytest.mark.parametrize('count', [1, 5, MAX_SERVERS])
def test_small_service_is_used_whole(count):
    """Use each server of a service that is no larger than a subset."""
    servers = build_servers(count)
    assert all(len(chosen) == count for chosen in choose_for_all(30, servers))


@pytest.mark.parametrize('count', [88, 400])
def test_subset_is_bounded_and_mostly_local(count):
    """Use as many servers of a large service at any size of the fleet."""
    chosen = choose_subset('node-1', 'a', build_servers(count))
    assert len(chosen) == MAX_SERVERS
    local = [server for server in chosen if server.zone == 'a']
    assert len(local) == MAX_LOCAL_SERVERS


def test_zone_without_servers_uses_those_of_others():
    """Use as many servers if none of them is in the zone of the node."""
    servers = [server for server in build_servers(88) if server.zone != 'a']
    assert len(choose_subset('node-1', 'a', servers)) == MAX_SERVERS


def test_nodes_are_spread_over_the_servers():
    """Give no server more than twice the mean number of nodes."""
    users = Counter()
    for chosen in choose_for_all(970, build_servers(88)):
        users.update(chosen)
    mean = sum(users.values()) / 88
    assert len(users) == 88
    assert max(users.values()) < 2 * mean
    assert min(users.values()) > mean / 2


def test_server_that_leaves_is_replaced_only_where_it_was_used():
    """Keep the subset of each node that did not use a server that left."""
    servers = build_servers(88)
    before = choose_for_all(194, servers)
    after = choose_for_all(194, servers[1:])
    for old, new in zip(before, after, strict=True):
        if servers[0].name in old:
            assert len(new - old) == 1
        else:
            assert new == old
