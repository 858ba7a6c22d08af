"""Track whether a node is confirmed, cut off or drained."""

from collections.abc import Callable

from limpetshore import clock
from limpetshore.errors import refuse
from limpetshore.state.deduplication import find_owner
from limpetshore.verdicts import Reason


class FencingState:
    """Hold the fencing state of this node, checked on every request.

    `confirmed_at` is when the store was last read successfully, by this node
    or by another node that reported it through peers. `majority_at` is when
    this node last saw more than half of the members alive. `request_id_owners`
    lists the nodes of each service, among which its request ids are divided;
    `local_service_owners` lists those of the service of this node.
    """

    def __init__(
        self,
        name: str,
        *,
        fence_s: float,
        cut_off_s: float,
        keys_need_store: bool = False,
    ) -> None:
        """Start unconfirmed; no store or majority has been seen."""
        self.keys_need_store = keys_need_store
        self.name = name
        self.fence_s = fence_s
        self.cut_off_s = cut_off_s
        self.confirmed_at = float('-inf')
        self.majority_at = float('-inf')
        self.is_drained = False
        self.request_id_owners: dict[str, list[str]] = {}
        self.local_service_owners: list[str] = []
        self.reconnect_callbacks: list[Callable[[], None]] = []

    def confirm_store(self, age_s: float = 0) -> None:
        """Record that the store was read `age_s` seconds ago."""
        self.notice_reconnection()
        self.confirmed_at = max(self.confirmed_at, clock.now() - age_s)

    def confirm_majority(self) -> None:
        """Record that more than half of the members are alive now."""
        self.notice_reconnection()
        self.majority_at = clock.now()

    def notice_reconnection(self) -> None:
        """Run the callbacks if others may have taken over from this node.

        They do so only if they do not hear of it: not while it sees a majority,
        whatever the store does, and not when it has just started.
        """
        age_s = self.confirmation_age_s
        if self.cut_off_s < age_s < float('inf'):
            for callback in self.reconnect_callbacks:
                callback()

    @property
    def store_age_s(self) -> float:
        """Return the seconds since the last confirmed read of the store."""
        return clock.now() - self.confirmed_at

    @property
    def confirmation_age_s(self) -> float:
        """Return the seconds since the store or a majority was last seen."""
        return clock.now() - max(self.confirmed_at, self.majority_at)

    @property
    def is_confirmed(self) -> bool:
        """Return whether no other node can have taken over a local shard."""
        return self.confirmation_age_s <= self.fence_s

    @property
    def is_cut_off(self) -> bool:
        """Return whether this node may have missed the withdrawal of a key."""
        age_s = (
            self.store_age_s
            if self.keys_need_store
            else self.confirmation_age_s
        )
        return age_s > self.cut_off_s

    def check_request_id_owner(self, request_id: str) -> None:
        """Raise a refusal unless this node certainly owns a request id."""
        if clock.now() - self.majority_at > self.fence_s:
            raise refuse(Reason.CUT_OFF, 'ownership of the id is unconfirmed')
        if find_owner(request_id, self.local_service_owners) != self.name:
            raise refuse(Reason.NOT_OWNER, 'the id belongs to another server')

    def list_request_id_owners(self, service: str) -> list[str]:
        """Return the nodes of a service that share its request ids."""
        return self.request_id_owners.get(service, [])
