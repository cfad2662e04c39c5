"""Reliable byte streams over packets: sender with retransmission, receiver with reordering."""

import asyncio

import packets

INITIAL_RTO = 0.2
MAX_RTO = 1.6
WINDOW = 16
PACKETS_PER_ACK = 2


class Sender:
    """Sends data with up to WINDOW packets in flight, and retransmits until it is acknowledged.

    `write` takes the data of one packet and its sequence number. After `max_retransmissions`
    without progress `on_timeout` is called; None retransmits until `stop`.
    """

    def __init__(self, seq, write, max_retransmissions=None, on_timeout=None):
        self.send_next = seq
        self.acknowledged = seq
        self.write = write
        self.max_retransmissions = max_retransmissions
        self.on_timeout = on_timeout
        self.unsent = []
        self.in_flight = []
        self.retransmissions = 0
        self.timer = None

    def put(self, payload):
        self.unsent += [payload[i:i + packets.MAX_DATA] for i in range(0, len(payload), packets.MAX_DATA)]
        self._fill_window()

    def on_acknowledged(self, ack):
        if ack <= self.acknowledged:
            return
        self.acknowledged = ack
        self.in_flight = [(seq, data) for seq, data in self.in_flight if seq + len(data) > ack]
        self.retransmissions = 0
        self._fill_window()

    def stop(self):
        self._stop_timer()
        self.unsent = []
        self.in_flight = []

    def _fill_window(self):
        while self.unsent and len(self.in_flight) < WINDOW:
            data = self.unsent.pop(0)
            self.write(data, self.send_next)
            self.in_flight.append((self.send_next, data))
            self.send_next += len(data)
        self._start_timer(INITIAL_RTO)

    def _stop_timer(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None

    def _start_timer(self, delay):
        self._stop_timer()
        if self.in_flight:
            self.timer = asyncio.get_running_loop().call_later(delay, self._retransmit, delay)

    def _retransmit(self, delay):
        self.retransmissions += 1
        if self.max_retransmissions is not None and self.retransmissions > self.max_retransmissions:
            self.stop()
            self.on_timeout()
            return
        for seq, data in self.in_flight:
            self.write(data, seq)
        self._start_timer(min(2 * delay, MAX_RTO))


class Receiver:
    """Puts data in order. Acknowledges every second packet, short packets and duplicates."""

    def __init__(self, seq):
        self.receive_next = seq
        self.out_of_order = {}
        self.unacknowledged = 0
        self.stream = b""

    def on_data(self, packet):
        """Takes a packet; returns True when an acknowledgement must be sent."""
        is_old = packet.seq < self.receive_next
        if not is_old:
            self.out_of_order[packet.seq] = packet.data
        while self.receive_next in self.out_of_order:
            data = self.out_of_order.pop(self.receive_next)
            self.receive_next += len(data)
            self.stream += data
        self.unacknowledged += 1
        is_due = is_old or self.unacknowledged >= PACKETS_PER_ACK or len(packet.data) < packets.MAX_DATA
        if is_due:
            self.unacknowledged = 0
        return is_due

    def take(self, size):
        """Removes and returns the next `size` bytes, which must have been received."""
        taken, self.stream = self.stream[:size], self.stream[size:]
        return taken
