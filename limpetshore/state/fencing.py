"""Know how a node stands in the fleet: confirmed, cut off or drained."""

from limpetshore import clock
from limpetshore.errors import refuse
from limpetshore.state.deduplication import find_owner
from limpetshore.verdicts import Reason


class FencingState:
    """Answer what the hot path asks about the node's place in the fleet.

    `confirmed_at` is when the store was last known to be up and read, by this
    node or by one whose word came through peers. `majority_at` is when the
    node last saw more than half of the members alive.
    """

    def __init__(
        self,
        name: str,
        *,
        fence_s: float,
        cut_off_s: float,
        keys_need_store: bool = False,
    ) -> None:
        """Start unconfirmed."""
        self.keys_need_store = keys_need_store
        self.name = name
        self.fence_s = fence_s
        self.cut_off_s = cut_off_s
        self.confirmed_at = float('-inf')
        self.majority_at = float('-inf')
        self.is_drained = False
        self.request_id_owners: dict[str, list[str]] = {}
        self.local_service_owners: list[str] = []

    def confirm_store(self, age: float = 0) -> None:
        """Note that the store was read `age` seconds ago."""
        self.confirmed_at = max(self.confirmed_at, clock.now() - age)

    def confirm_majority(self) -> None:
        """Note that most members are alive now."""
        self.majority_at = clock.now()

    @property
    def store_age_s(self) -> float:
        """Return seconds since the store was known to be up."""
        return clock.now() - self.confirmed_at

    @property
    def age(self) -> float:
        """Return seconds since the node was last confirmed in any way."""
        return clock.now() - max(self.confirmed_at, self.majority_at)

    @property
    def is_confirmed(self) -> bool:
        """Tell whether no other node can have taken over what is held here."""
        return self.age <= self.fence_s

    @property
    def is_cut_off(self) -> bool:
        """Tell whether a key may have been withdrawn unheard."""
        age = self.store_age_s if self.keys_need_store else self.age
        return age > self.cut_off_s

    def check_request_id_owner(self, request_id: str) -> None:
        """Refuse an id unless it surely belongs to the local server."""
        if clock.now() - self.majority_at > self.fence_s:
            raise refuse(Reason.CUT_OFF, 'ownership of the id is unconfirmed')
        if find_owner(request_id, self.local_service_owners) != self.name:
            raise refuse(Reason.NOT_OWNER, 'the id belongs to another server')

    def list_request_id_owners(self, service: str) -> list[str]:
        """Return the servers among which request ids are divided."""
        return self.request_id_owners.get(service, [])
