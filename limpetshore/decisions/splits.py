"""Share the requests of a route among services by weight."""

from limpetshore.state.policies import RouteMatch, SplitPart


class Splitter:
    """Choose a service for each request, as evenly as the weights allow.

    Smooth weighted round-robin: each choice raises every part by its weight
    and lowers the chosen one by their sum, so that any run of requests is
    within one request of its shares.
    """

    def __init__(self) -> None:
        """Start without credit for any part."""
        self.credits: dict[str, list[float]] = {}
        self.splits: dict[str, list[SplitPart]] = {}

    def choose(self, match: RouteMatch) -> str:
        """Return the service that serves the next request on a route."""
        split = match.route.split
        if not split:
            return match.route.service
        if self.splits.get(match.name) != split:
            self.splits[match.name] = split
            self.credits[match.name] = [0 for _ in split]
        credits = self.credits[match.name]
        for at, part in enumerate(split):
            credits[at] += part.weight
        chosen = max(range(len(split)), key=credits.__getitem__)
        credits[chosen] -= sum(part.weight for part in split)
        return split[chosen].service
