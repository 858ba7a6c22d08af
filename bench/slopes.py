"""Measure how memory, messages and run times grow with nodes and customers."""

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

SERVICE_COUNT = 61
ZONE_COUNT = 5
REPEAT_COUNT = 20


def build_state(number):
    """Return the state of one node of a large fleet."""
    return NodeState(
        name=f'service-{number % SERVICE_COUNT}-{number}',
        incarnation=1796379337,
        revision=number % 7,
        status=int(Status.READY),
        service=f'service-{number % SERVICE_COUNT}',
        zone=f'zone-{number % ZONE_COUNT}',
        region=f'region-{number % 2}',
        peers=f'10.{number % 200}.{number // 200}.7:7001',
        control=f'10.{number % 200}.{number // 200}.7:7002',
        slots=120,
    )


def build_policy(customers):
    """Return a policy with some customers and four routes for each service."""
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
                path=f'/service-{number % SERVICE_COUNT}/{number}',
                service=f'service-{number % SERVICE_COUNT}',
            )
            for number in range(4 * SERVICE_COUNT)
        },
    )


def time_ms(function):
    """Return the median run time of a function in milliseconds."""
    timings = []
    for _ in range(REPEAT_COUNT):
        started = time.perf_counter()
        function()
        timings.append(time.perf_counter() - started)
    return round(sorted(timings)[REPEAT_COUNT // 2] * 1000, 3)


def peak_memory_mb():
    """Return the peak resident memory of this process in megabytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def measure_members(nodes):
    """Return times, memory and message sizes for a number of nodes."""
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
    memory_before_mb = peak_memory_mb()
    started = time.perf_counter()
    for number in range(1, nodes):
        table.merge(build_state(number))
    merge_s = time.perf_counter() - started
    gossip = Gossip(fleet, None, FleetSection(), random.Random(1))
    digest_message = GossipMessage(fleet.digest(), [])
    full_message = GossipMessage(fleet.digest(), table.states())
    ledger = reassign_shards(Ledger(), table, 30)
    return {
        'nodes': nodes,
        'merge_us_per_node': round(merge_s * 1e6 / nodes, 1),
        'memory_kb_per_node': round(
            (peak_memory_mb() - memory_before_mb) * 1024 / nodes, 1
        ),
        'exchange_bytes': len(encode(digest_message)),
        'full_exchange_bytes': len(encode(full_message)),
        'choose_peers_ms': time_ms(gossip.choose_peers),
        'declare_dead_ms': time_ms(gossip.declare_dead),
        'majority_ms': time_ms(table.sees_majority),
        'follow_members_ms': time_ms(fleet.update_members),
        'plan_ledger_ms': time_ms(lambda: reassign_shards(ledger, table, 30)),
        'ledger_bytes': len(encode_ledger(ledger)),
    }


def measure_policy(customers):
    """Return times, memory and size of a policy for a number of customers."""
    policy = build_policy(customers)
    encoded = encode_policy(policy)
    memory_before_mb = peak_memory_mb()
    started = time.perf_counter()
    index = PolicyIndex(policy, 1)
    build_s = time.perf_counter() - started
    return {
        'customers': customers,
        'policy_bytes': len(encoded),
        'build_index_ms': round(build_s * 1000, 2),
        'memory_mb': round(peak_memory_mb() - memory_before_mb, 2),
        'find_customer_us': time_ms(lambda: index.find_customer('k')) * 1000,
    }


async def main():
    """Print one line of JSON for each size, then a summary."""
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
