"""Distribute the requests of a route among services by weight."""

from limpetshore.state.policies import RouteMatch, SplitPart


class Splitter:
    """Choose the services of a split route by smooth weighted round-robin.

    Each choice adds to the credit of every part its weight, and subtracts the
    sum of the weights from the chosen one. The number of requests of each part
    deviates from its share by at most the number of parts.
    """

    def __init__(self) -> None:
        """Start without credits; a changed split resets them for its route."""
        self.credits: dict[str, list[float]] = {}
        self.splits: dict[str, list[SplitPart]] = {}

    def choose(self, match: RouteMatch) -> str:
        """Return the service for the next request on a route."""
        split = match.route.split
        if not split:
            return match.route.service
        if self.splits.get(match.name) != split:
            self.splits[match.name] = split
            self.credits[match.name] = [0 for _ in split]
        credits = self.credits[match.name]
        for index, part in enumerate(split):
            credits[index] += part.weight
        chosen = max(range(len(split)), key=credits.__getitem__)
        credits[chosen] -= sum(part.weight for part in split)
        return split[chosen].service
