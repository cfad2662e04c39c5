"""Reachability between zones: which zones are isolated, and how this affects flows and clients."""

import dataclasses

from promises import SETTLE_TIME, now


@dataclasses.dataclass
class Cut:
    """Isolation of one zone from the others. Its clients still reach its balancers."""

    zone: str
    started_at: float
    last_served: float
    # The longest time without a response for any client of the zone, in seconds.
    longest_outage: float = 0.0
    # Opening packets that balancers sent across the cut, by direction, and the time of the last one
    # in seconds after the start of the cut.
    openings_out: int = 0
    openings_in: int = 0
    last_opening_after: float = 0.0

    def on_served(self):
        """A client of the zone received a response, necessarily from a target of the same zone."""
        self.longest_outage = max(self.longest_outage, now() - self.last_served)
        self.last_served = now()

    def on_lost_opening(self, is_outbound):
        """A balancer tried to open a flow across the cut."""
        self.last_opening_after = now() - self.started_at
        if is_outbound:
            self.openings_out += 1
        else:
            self.openings_in += 1

    def __str__(self):
        return (f"{self.zone} was isolated for {now() - self.started_at:.2f} s: {self.openings_out} opening packets "
                f"out of it and {self.openings_in} into it, the last after {self.last_opening_after:.2f} s; "
                f"longest time without a response for its clients: {self.longest_outage:.2f} s")


class ZonePaths:
    """Tracks isolated zones, which cannot reach other zones or be reached from them."""

    def __init__(self):
        self.cuts = {}
        self.healed_at = {}
        self.past_cuts = []

    def begin_cut(self, zone):
        self.cuts[zone] = Cut(zone, now(), now())

    def end_cut(self, zone):
        """Ends the isolation of a zone and returns its record."""
        cut = self.cuts.pop(zone)
        cut.on_served()
        self.healed_at[zone] = now()
        self.past_cuts.append(cut)
        return cut

    def is_open(self, one, other):
        """True when two zones can reach each other. None is a place outside of all zones."""
        return one == other or None in (one, other) or not (one in self.cuts or other in self.cuts)

    def is_undisturbed(self, one, other):
        """True when the path has been open for SETTLE_TIME seconds."""
        if one == other:
            return True
        healed_at = max(self.healed_at.get(one, 0.0), self.healed_at.get(other, 0.0))
        return self.is_open(one, other) and now() - healed_at >= SETTLE_TIME

    def on_lost_opening(self, sender_zone, target_zone):
        """An opening packet of a balancer was dropped at a cut."""
        for zone in (sender_zone, target_zone):
            if zone in self.cuts:
                self.cuts[zone].on_lost_opening(zone == sender_zone)

    def on_served(self, zone):
        if zone in self.cuts:
            self.cuts[zone].on_served()

    def summary(self):
        last_opening = max((cut.last_opening_after for cut in self.past_cuts), default=0.0)
        waited = max((cut.longest_outage for cut in self.past_cuts), default=0.0)
        return (f"{len(self.past_cuts)} isolated zones, last opening packet across after {last_opening:.2f} s, "
                f"at most {waited:.2f} s without a response")
