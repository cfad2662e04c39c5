"""The two halves of a flow at either end: what is sent and repeated until it is acknowledged, and what arrives."""

import asyncio

import packets

FIRST_RESEND = 0.2
LAST_RESEND = 1.6
WINDOW = 16
ACKNOWLEDGED_TOGETHER = 2


class Sender:
    """Octets for the other end: up to WINDOW packets under way, repeated until they are acknowledged.

    `write` takes the octets of one packet and their sequence number. After `max_resends` repeats without progress
    `give_up` is called; None repeats until `stop`.
    """

    def __init__(self, seq, write, max_resends=None, give_up=None):
        self.sent = seq
        self.acknowledged = seq
        self.write = write
        self.max_resends = max_resends
        self.give_up = give_up
        self.unsent = []
        self.under_way = []
        self.resends = 0
        self.timer = None

    def put(self, octets):
        self.unsent += [octets[i:i + packets.MAX_DATA] for i in range(0, len(octets), packets.MAX_DATA)]
        self._push()

    def on_acknowledged(self, ack):
        if ack <= self.acknowledged:
            return
        self.acknowledged = ack
        self.under_way = [(seq, data) for seq, data in self.under_way if seq + len(data) > ack]
        self.resends = 0
        self._push()

    def stop(self):
        self._disarm()
        self.unsent = []
        self.under_way = []

    def _push(self):
        while self.unsent and len(self.under_way) < WINDOW:
            data = self.unsent.pop(0)
            self.write(data, self.sent)
            self.under_way.append((self.sent, data))
            self.sent += len(data)
        self._arm(FIRST_RESEND)

    def _disarm(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None

    def _arm(self, delay):
        self._disarm()
        if self.under_way:
            self.timer = asyncio.get_running_loop().call_later(delay, self._resend, delay)

    def _resend(self, delay):
        self.resends += 1
        if self.max_resends is not None and self.resends > self.max_resends:
            self.stop()
            self.give_up()
            return
        for seq, data in self.under_way:
            self.write(data, seq)
        self._arm(min(2 * delay, LAST_RESEND))


class Receiver:
    """Puts what arrives in order, and says when to acknowledge it: every second packet, and each that ends a message
    or came before."""

    def __init__(self, seq):
        self.received = seq
        self.early = {}
        self.unacknowledged = 0
        self.stream = b""

    def on_data(self, packet):
        """True when an acknowledgement is due."""
        is_old = packet.seq < self.received
        if not is_old:
            self.early[packet.seq] = packet.data
        while self.received in self.early:
            data = self.early.pop(self.received)
            self.received += len(data)
            self.stream += data
        self.unacknowledged += 1
        is_due = is_old or self.unacknowledged >= ACKNOWLEDGED_TOGETHER or len(packet.data) < packets.MAX_DATA
        if is_due:
            self.unacknowledged = 0
        return is_due

    def take(self, octets):
        """The next octets of the stream, of which there must be enough."""
        taken, self.stream = self.stream[:octets], self.stream[octets:]
        return taken
