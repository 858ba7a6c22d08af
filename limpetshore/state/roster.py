"""Encode the list of nodes that is kept in the store for nodes that start."""

import contextlib
from typing import NamedTuple

import msgspec

from limpetshore.decoding import decode_json
from limpetshore.protocol.messages import NodeState
from limpetshore.settings import is_address

MAX_MEMBERS = 10_000


class Roster(NamedTuple):
    """Hold the members of a roster and the number of invalid entries."""

    members: list[NodeState]
    invalid_count: int = 0


class MemberKey(NamedTuple):
    """Hold what a node that starts needs to know of another one."""

    name: str
    control: str
    peers: str
    service: str
    zone: str
    instance: str


def encode_roster(members: list[NodeState]) -> bytes:
    """Return the stored form of a roster, sorted by name."""
    return msgspec.json.encode(sorted(members))


def decode_roster(encoded: bytes) -> Roster:
    """Return the valid members of a roster; count the other entries.

    Raise `msgspec.MsgspecError` if it is no list.

    >>> decode_roster(b'[1]')
    Roster(members=[], invalid_count=1)
    """
    entries = decode_json(encoded, list[msgspec.Raw])
    members = []
    for entry in entries[:MAX_MEMBERS]:
        with contextlib.suppress(msgspec.MsgspecError):
            state = decode_json(entry, NodeState)
            if is_address(state.peers) and is_address(state.control):
                members.append(state)
    return Roster(members, len(entries) - len(members))


def summarize_roster(members: list[NodeState]) -> frozenset[MemberKey]:
    """Return what makes a roster worth writing again if it differs."""
    return frozenset(
        MemberKey(
            state.name,
            state.control,
            state.peers,
            state.service,
            state.zone,
            state.instance,
        )
        for state in members
    )
