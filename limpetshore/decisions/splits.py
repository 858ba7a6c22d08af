"""Distribute the requests of a route among services by weight."""

import random

from limpetshore.state.policies import RouteMatch, SplitPart

# A split begins after up to so many choices.
START_CHOICES = 256


class Splitter:
    """Choose the services of a split route by smooth weighted round-robin.

    Each choice adds to the credit of every part its weight, and subtracts the
    sum of the weights from the chosen one. The number of requests of each part
    deviates from its share by at most the number of parts. Each node begins at
    a random place of the sequence, so that the first few requests of many nodes
    keep the shares, too.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without credits; a changed split begins anew for its route."""
        self.rng = rng
        self.credits: dict[str, list[float]] = {}
        self.splits: dict[str, list[SplitPart]] = {}

    def choose(self, match: RouteMatch) -> str:
        """Return the service for the next request on a route."""
        split = match.route.split
        if not split:
            return match.route.service
        if self.splits.get(match.name) != split:
            self.begin(match.name, split)
        return split[self.choose_part(match.name)].service

    def begin(self, name: str, split: list[SplitPart]) -> None:
        """Begin the split of a route at a random place."""
        self.splits[name] = split
        self.credits[name] = [0 for _ in split]
        for _ in range(self.rng.randrange(START_CHOICES)):
            self.choose_part(name)

    def choose_part(self, name: str) -> int:
        """Return the index of the next part of a route."""
        split = self.splits[name]
        credits = self.credits[name]
        for index, part in enumerate(split):
            credits[index] += part.weight
        chosen = max(range(len(split)), key=credits.__getitem__)
        credits[chosen] -= sum(part.weight for part in split)
        return chosen
