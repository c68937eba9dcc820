"""Ids of reqs that may have run and must not run again. Pure."""

ID_BYTES = 192  # of memory for each, as a text in a dictionary


class SpentIds:
    """The latest ids, in the order in which they were noted."""

    def __init__(self, max_ids: int) -> None:
        self.max_ids = max_ids
        self.ids: dict[str, None] = {}

    def __contains__(self, req: str) -> bool:
        return req in self.ids

    def add(self, req: str) -> None:
        """Notes an id; the oldest one is forgotten if there are too many."""
        self.ids[req] = None
        if len(self.ids) > self.max_ids:
            del self.ids[next(iter(self.ids))]
