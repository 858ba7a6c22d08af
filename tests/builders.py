"""Build customers, routes, policies, tickets and node states for tests."""

from limpetshore.protocol.messages import NodeState
from limpetshore.state.members import Status
from limpetshore.state.policies import Customer, Policy, Route, hash_key
from limpetshore.state.tickets import Ticket

KEY = 'ls_test-key'
LAYOUT = [
    {'name': 'stock-1', 'service': 'stock', 'zone': 'zone-a'},
    {'name': 'stock-2', 'service': 'stock', 'zone': 'zone-b'},
    {'name': 'yard-1', 'service': 'yard', 'zone': 'zone-a'},
    {'name': 'yard-2', 'service': 'yard', 'zone': 'zone-b'},
]
# Shorter than the defaults, so that tests of takeover end soon.
SHORT_FLEET_PERIODS = {
    'fleet': {'fence_s': 2, 'takeover_s': 6, 'clock_skew_s': 0.5}
}
# As the operator of the platform writes it.
CONFIGURATION = {
    'version': 7,
    'routes': {
        'r-lookup': {
            'host': 'Yard.example',
            'path_prefix': '/stock/',
            'kind': 'idempotent',
            'timeout_ms': 5000,
            'target_ms': 1200,
            'priority': 2,
            'split': [
                {'service': 'yard', 'weight': 90},
                {'service': 'spare', 'weight': 10},
            ],
            'attempts': 2,
            'is_open': False,
        },
        'r-hold': {
            'host': 'yard.example',
            'path_prefix': '/stock/hold/',
            'kind': 'non_idempotent',
            'timeout_ms': 800,
            'target_ms': 1500,
            'service': 'holds',
        },
    },
    'services': {'yard': {'health_path': '/healthz', 'protocol': 'h1'}},
    'customers': {
        'harbour': {'keys': ['k1'], 'priority': 1, 'rate': 100, 'burst': 50},
        'open': {'keys': []},
    },
    'limits': {'maxHeaderBytes': 16384},
}


def build_customer(**changes):
    """Return a customer whose key is KEY."""
    customer = Customer(rate=100, burst=50, key_hashes=[hash_key(KEY)])
    return customer._replace(**changes)


def build_route(**changes):
    """Return a repeatable route of the service stock."""
    route = Route(path='/stock', service='stock', is_repeatable=True)
    return route._replace(**changes)


def build_policy(**changes):
    """Return a policy with one customer and one route."""
    policy = Policy(
        number=1,
        customers={'harbour': build_customer()},
        routes={'lookup': build_route()},
    )
    return policy._replace(**changes)


def build_ticket(number=1, **changes):
    """Return a ticket that sets one customer and one route."""
    ticket = Ticket(
        number=number,
        operator='amina',
        customers={'harbour': build_customer()},
        routes={'lookup': build_route()},
    )
    return ticket._replace(**changes)


def build_ticket_tables(number=1, **customer):
    """Return a ticket as nested mappings, as `LocalFleet.apply` takes it."""
    record = {
        'rate': 1000,
        'burst': 500,
        'key_hashes': [hash_key(KEY)],
        **customer,
    }
    return {
        'number': number,
        'operator': 'amina',
        'customers': {'harbour': record},
        'routes': {
            'lookup': {
                'path': '/stock',
                'service': 'stock',
                'is_repeatable': True,
                'timeout_s': 5,
            },
            'hold': {'path': '/hold', 'service': 'stock', 'timeout_s': 5},
            'yards': {
                'path': '/yard',
                'service': 'yard',
                'is_repeatable': True,
                'timeout_s': 5,
            },
            'open': {'path': '/open', 'service': 'yard', 'is_open': True},
        },
    }


def build_node_state(name='node-a', **changes):
    """Return the state of a ready node of the service stock."""
    state = NodeState(
        name=name,
        incarnation=5,
        revision=0,
        status=int(Status.READY),
        service='stock',
        zone='zone-a',
        region='region',
        peers='10.0.0.1:7001',
        control='10.0.0.1:7002',
        slots=10,
    )
    return state._replace(**changes)
