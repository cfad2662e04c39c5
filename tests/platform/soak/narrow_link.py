"""Shaper for the low-bandwidth link from a balancer to targets: a fixed rate and a short queue.

Targets apply it to received datagrams: the shaper returns when a datagram would have arrived, or
that it was dropped. Traffic to a balancer is not shaped, as on the platform.
"""

import collections

BYTES_PER_MBIT = 125_000
# Packets that may be queued behind the one in transmission. A full window overflows the queue.
QUEUE_LIMIT = 6


class LinkShaper:
    """The link of one balancer. Times are monotonic seconds."""

    def __init__(self, mbit_per_s):
        self.mbit_per_s = mbit_per_s
        self.departures = collections.deque()
        self.passed = 0
        self.dropped = 0

    def departure(self, size, at):
        """Returns when a datagram sent at `at` has been transmitted; None when it is dropped."""
        while self.departures and self.departures[0] <= at:
            self.departures.popleft()
        if len(self.departures) > QUEUE_LIMIT:
            self.dropped += 1
            return None
        self.passed += 1
        started_at = self.departures[-1] if self.departures else at
        self.departures.append(started_at + size / (self.mbit_per_s * BYTES_PER_MBIT))
        return self.departures[-1]
