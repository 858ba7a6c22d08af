"""Describe all settings on a page for operators."""

from typing import get_type_hints

from limpetshore.settings import NodeSettings

# Descriptions of the settings, printed into the reference page.
MEANINGS: dict[str, str] = {
    'node.name': 'Name of the node, unique in the fleet and kept over restarts',
    'node.zone': 'Availability zone in which the node runs',
    'node.region': 'Region to which the availability zone belongs',
    'listen.callers': 'Address for callers and the local backend server',
    'listen.peers': 'Address for calls from other nodes',
    'listen.control': 'Address for control messages from other nodes',
    'listen.admin': 'Address for metrics, status and announcements',
    'listen.peers_seen_as': (
        'Address at which other nodes reach `peers`, if not the same'
    ),
    'listen.control_seen_as': (
        'Address at which other nodes reach `control`, if not the same'
    ),
    'backend.service': 'Service to which the local backend server belongs',
    'backend.address': 'Address of the local backend server',
    'backend.calls_from': (
        'IP address from which nested calls come, if not that of `address`'
    ),
    'backend.max_slots': (
        'Maximum number of slots; a higher announced number is reduced to it'
    ),
    'backend.announce_lapse_s': (
        'Seconds without an announcement until the backend server is '
        'considered not ready'
    ),
    'store.address': 'Address of the object API',
    'store.timeout_s': 'Maximum seconds to wait for an answer of the store',
    'store.watch_s': 'Maximum seconds that a watch waits for a change',
    'call.max_body_bytes': 'Maximum size of a request body in bytes',
    'call.replay_bytes': (
        'Maximum size in bytes of a request body that is kept for a retry'
    ),
    'call.stall_s': 'Seconds without progress until a body is aborted',
    'call.silence_s': (
        'Seconds without an answer until the other node is asked on a new '
        'connection whether the call arrived'
    ),
    'call.quiet_s': (
        'Seconds without a byte from another node until it is probed for '
        'being alive'
    ),
    'call.connect_s': 'Maximum seconds to open a connection',
    'call.max_idle_s': 'Maximum idle seconds of a connection that is reused',
    'call.max_depth': 'Maximum depth of nested calls',
    'call.graceful_s': 'Maximum seconds a shutdown waits for open requests',
    'call.drain_notice_s': (
        'Seconds between announcing that the node leaves and closing its ports'
    ),
    'admission.queue_per_slot': 'Maximum number of waiting requests per slot',
    'admission.max_wait_s': 'Maximum seconds that a request waits for a slot',
    'admission.limit': (
        'Source of the concurrency limit: learned from answers, or a share of '
        'the announced slots'
    ),
    'admission.slot_share': (
        'Share of the announced slots that an announced limit uses'
    ),
    'admission.initial_share': (
        'Share of the slots that a learned limit allows to a server that has '
        'just started'
    ),
    'admission.probe_s': (
        'Seconds between two trials of another value of a learned limit'
    ),
    'admission.level_half_life_s': (
        'Half-life in seconds of a reported admission level'
    ),
    'admission.retry_tokens': 'Maximum number of retry tokens per service',
    'admission.fleet_retry_tokens': (
        'If above 0, maximum number of retry tokens per service of all nodes '
        'together; replaces `retry_tokens`'
    ),
    'admission.retry_earning': 'Retry tokens earned by each complete answer',
    'fleet.seeds': 'Control addresses that are contacted first after a start',
    'fleet.peers': 'Number of nodes with which this node exchanges gossip',
    'fleet.gossip_period_s': 'Seconds between two gossip exchanges',
    'fleet.suspicion_s': (
        'Seconds that a suspected node has to answer before it is declared dead'
    ),
    'fleet.fence_s': (
        'Seconds without a confirmation until the node grants no tokens and '
        'runs no request that may not be repeated'
    ),
    'fleet.takeover_s': (
        'Seconds after the death of a node until its shards are reassigned'
    ),
    'fleet.cut_off_s': (
        'Seconds without contact to either the store or a majority of nodes '
        'until keys are refused'
    ),
    'fleet.revoke_s': (
        'If set, seconds after which no withdrawn key may be used anywhere; '
        'keys are refused after nine tenths of it, instead of `cut_off_s`'
    ),
    'fleet.grant_validity_s': 'Seconds until a granted token expires',
    'fleet.grant_horizon_s': 'Seconds of demand covered by one token request',
    'fleet.grant_wait_s': 'Maximum seconds that a call waits for a token',
    'fleet.budgets': (
        'How nodes share rate budgets: granted by the holders of shards, or '
        'conserved in shares that nodes own and lend'
    ),
    'fleet.restart_tokens': (
        'Tokens with which the owners of a conserved budget start together, '
        'which may exceed the burst by as much'
    ),
    'fleet.shards_per_customer': (
        'Maximum number of nodes among which the budget of a customer is '
        'divided'
    ),
    'fleet.watchers': (
        'Number of nodes in the fleet that watch the store; others take over '
        'while these cannot'
    ),
    'fleet.apply_s': (
        'Seconds within which a policy is active on each node that reaches the '
        'store; the nodes read it as often as this needs'
    ),
    'fleet.id_window_s': (
        'Seconds for which a request id is remembered to detect repeats'
    ),
    'fleet.clock_skew_s': 'Maximum tolerated difference between wall clocks',
    'fleet.keys_need_store': (
        'Refuse keys without recent confirmation of the store, even if most '
        'nodes are alive'
    ),
    'platform.heartbeats': 'Address for heartbeats of the local backend server',
    'platform.readiness': 'Address for readiness checks',
    'log.level': 'Minimum severity of logged messages',
}


def describe_settings() -> str:
    """Return the reference page of all settings as Markdown."""
    lines = [
        '# Settings reference',
        '',
        'Each node reads one TOML file. `limpetshore check FILE` reports every',
        'mistake in it. This page is generated by `limpetshore settings`.',
        '',
    ]
    for section_name, section in get_type_hints(NodeSettings).items():
        lines += [f'## `[{section_name}]`', '', f'{section.__doc__}', '']
        lines += ['| setting | default | meaning |', '| --- | --- | --- |']
        for field in section._fields:
            default = section._field_defaults.get(field, 'required')
            meaning = MEANINGS[f'{section_name}.{field}']
            lines.append(f'| `{field}` | `{default}` | {meaning} |')
        lines.append('')
    return '\n'.join(lines)
