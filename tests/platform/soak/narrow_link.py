"""The narrow link of a balancer's machine: what it sends to targets leaves at a given rate, with a short queue.

The targets are at the far end of these links. They say when a datagram came to them from a balancer, and hear when it
would have come over the link, if at all. What comes in at a balancer is not slowed, as on the users' machines.
"""

import collections

BYTES_PER_MBIT = 125_000
# What waits while one packet leaves; of a burst of 16 more than half is lost.
QUEUE_LIMIT = 6


class LinkShaper:
    """One link. Times are monotonic seconds."""

    def __init__(self, mbit_per_s):
        self.mbit_per_s = mbit_per_s
        self.departures = collections.deque()
        self.passed = 0
        self.dropped = 0

    def departure(self, size, at):
        """When the last octet of a datagram that is sent now has left; None when the queue is full."""
        while self.departures and self.departures[0] <= at:
            self.departures.popleft()
        if len(self.departures) > QUEUE_LIMIT:
            self.dropped += 1
            return None
        self.passed += 1
        started_at = self.departures[-1] if self.departures else at
        self.departures.append(started_at + size / (self.mbit_per_s * BYTES_PER_MBIT))
        return self.departures[-1]
