"""Measure how state and processor time grow with nodes and customers."""

import argparse
import gc
import json
import random
import resource
import time

import anyio

from limpetshore.coordination.fleet import FleetState
from limpetshore.coordination.gossip import Gossip
from limpetshore.coordination.local_shards import LocalShards
from limpetshore.metrics import Metrics
from limpetshore.protocol.messages import GossipMessage, NodeState, encode
from limpetshore.settings import FleetSection
from limpetshore.state.fencing import FencingState
from limpetshore.state.ledger import Ledger, encode_ledger, reassign_shards
from limpetshore.state.members import MemberTable, Status
from limpetshore.state.policies import (
    Customer,
    Policy,
    PolicyIndex,
    Route,
    encode_policy,
)

SERVICES = 61
ZONES = 5
REPEATS = 20


def build_state(number):
    """Return the state of one node of a large fleet."""
    return NodeState(
        name=f'service-{number % SERVICES}-{number}',
        incarnation=1796379337,
        revision=number % 7,
        status=int(Status.READY),
        service=f'service-{number % SERVICES}',
        zone=f'zone-{number % ZONES}',
        region=f'region-{number % 2}',
        peers=f'10.{number % 200}.{number // 200}.7:7001',
        control=f'10.{number % 200}.{number // 200}.7:7002',
        slots=120,
    )


def build_policy(customers):
    """Return a policy with many customers and the routes of 61 services."""
    return Policy(
        number=1400,
        customers={
            f'customer-{number}': Customer(
                rate=100,
                burst=100,
                key_hashes=[f'{number:064x}', f'{number + 10**6:064x}'],
            )
            for number in range(customers)
        },
        routes={
            f'route-{number}': Route(
                path=f'/service-{number % SERVICES}/{number}',
                service=f'service-{number % SERVICES}',
            )
            for number in range(4 * SERVICES)
        },
    )


def time_ms(work):
    """Return the median time of some work in milliseconds."""
    timings = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        work()
        timings.append(time.perf_counter() - started)
    return round(sorted(timings)[REPEATS // 2] * 1000, 3)


def resident_mb():
    """Return the peak memory of this process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def measure_members(nodes):
    """Return what a member table of some size costs."""
    own = build_state(0)
    table = MemberTable(own)
    fencing = FencingState(own.name, fence_s=8, cut_off_s=4)
    local_shards = LocalShards(
        own.name,
        fencing,
        validity_s=0.6,
        shards_per_customer=4,
    )
    fleet = FleetState(table, fencing, local_shards, Metrics())
    before = resident_mb()
    started = time.perf_counter()
    for number in range(1, nodes):
        table.merge(build_state(number))
    merged = time.perf_counter() - started
    gossip = Gossip(fleet, None, FleetSection(), random.Random(1))
    exchange = GossipMessage(fleet.digest(), [])
    full = GossipMessage(fleet.digest(), table.states())
    planned = reassign_shards(Ledger(), table, 30)
    return {
        'nodes': nodes,
        'merge_us_per_node': round(merged * 1e6 / nodes, 1),
        'memory_kb_per_node': round((resident_mb() - before) * 1024 / nodes, 1),
        'exchange_bytes': len(encode(exchange)),
        'full_exchange_bytes': len(encode(full)),
        'choose_peers_ms': time_ms(gossip.choose_peers),
        'declare_dead_ms': time_ms(gossip.declare_dead),
        'majority_ms': time_ms(table.sees_majority),
        'follow_members_ms': time_ms(fleet.update_members),
        'plan_ledger_ms': time_ms(lambda: reassign_shards(planned, table, 30)),
        'ledger_bytes': len(encode_ledger(planned)),
    }


def measure_policy(customers):
    """Return what a policy with some customers costs."""
    policy = build_policy(customers)
    encoded = encode_policy(policy)
    before = resident_mb()
    started = time.perf_counter()
    index = PolicyIndex(policy, 1)
    built = time.perf_counter() - started
    return {
        'customers': customers,
        'policy_bytes': len(encoded),
        'build_index_ms': round(built * 1000, 2),
        'memory_mb': round(resident_mb() - before, 2),
        'find_customer_us': time_ms(lambda: index.find_customer('k')) * 1000,
    }


async def main():
    """Print a line for each size and a summary as the last."""
    gc.disable()
    members = [measure_members(nodes) for nodes in (20, 250, 970, 2000)]
    policies = [measure_policy(customers) for customers in (8, 100, 1000)]
    for row in (*members, *policies):
        print(json.dumps(row))
    print(
        json.dumps({'bench': 'slopes', 'members': members, 'policy': policies}),
    )


if __name__ == '__main__':
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.parse_args()
    anyio.run(main)
