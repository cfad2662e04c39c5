/// Schedules the datagrams that a balancer forwards over a low-bandwidth link. The link's own queue
/// is short and drops most of a burst, and clients retransmit only after 200 ms. Datagrams that
/// cannot be sent at once are therefore queued here and sent at the link's rate.
///
/// Flows are ordered by start-time fair queueing (Goyal, Vin, Cheng, "Start-time Fair Queueing",
/// 1996). The first queued packet of each flow has a start tag, and the lowest tag is sent first; a
/// flow that becomes active starts at the current virtual time. Short requests thus overtake queued
/// transfers, transfers share the link evenly, and no flow starves. Within a flow, packets are sent
/// in sequence order, so that targets can acknowledge each packet as it arrives.
///
/// Deterministic, does no I/O and reads no clock. On a link of unknown rate nothing is queued.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/link/link_model.h"
#include "core/steering/client_packet.h"
#include "model/bytes.h"
#include "model/time.h"

namespace gorsevalve {

/// Counters since process start.
struct LinkCounters {
  std::uint64_t sent_immediately = 0;
  std::uint64_t sent_after_queueing = 0;
  /// Retransmissions of packets that were still queued, or sent too recently to be acknowledged.
  std::uint64_t retransmissions_suppressed = 0;
  /// The queue or the flow table was full, or the datagram was too large.
  std::uint64_t dropped_queue_full = 0;
  /// The client had timed out, or the flow had ended.
  std::uint64_t dropped_expired = 0;
};

/// Time limits of a packet, relative to its arrival.
struct PacketDeadlines {
  /// The client times out after this time; the packet is then dropped.
  Duration timeout{0};
  /// The flow counts as late this long after its first queued packet; 0 for never.
  Duration late_after{0};
};

/// A datagram to send now; `bytes` are valid until the next call of `enqueue` or `dequeue`.
struct DequeuedDatagram {
  Endpoint to;
  ByteView bytes;
  Duration queueing_delay{0};
};

class LinkScheduler {
 public:
  /// Maximum number of queued packets: 2.5 s of a 2 Mbit/s link, or 0.7 MB of memory.
  static constexpr std::size_t kMaxQueuedPackets = 512;
  /// Maximum number of tracked flows: those with queued or recently sent packets. Takes 3 MB.
  static constexpr std::size_t kMaxFlows = 4096;
  /// Largest datagram that can be queued, in bytes.
  static constexpr std::size_t kMaxDatagramSize = 1344;

  /// `link` must outlive the scheduler.
  explicit LinkScheduler(LinkModel& link) : link_(link) {}

  /// True when a datagram may be sent without queueing.
  [[nodiscard]] bool can_send_immediately(Instant now) const;
  void on_sent_immediately(std::size_t size, Instant now);

  /// True for a retransmission of a packet that is still queued, or was sent so recently that its
  /// acknowledgement may be in flight. Dropping it is safe: clients retransmit every 200 ms or
  /// later until they get an acknowledgement, and a later retransmission is forwarded. Increments
  /// `retransmissions_suppressed` when true.
  [[nodiscard]] bool is_redundant_retransmission(const ClientPacket& packet, Instant now);

  /// Queues a datagram of `size` bytes for a client's packet. Returns the buffer to fill
  /// with its content; empty when the datagram is dropped.
  std::span<std::uint8_t> enqueue(const ClientPacket& packet, const Endpoint& to, std::size_t size,
                                  const PacketDeadlines& deadlines, Instant now);
  /// Returns the next datagram that may be sent now; nothing when the queue is empty or the link is
  /// busy.
  std::optional<DequeuedDatagram> dequeue(Instant now);
  /// Time of the next call of `dequeue`; nothing when the queue is empty.
  [[nodiscard]] std::optional<Instant> next_dequeue_at() const;

  /// Drops all queued packets of a flow that has ended.
  void drop_flow(const SteeredFlow& flow);
  /// Removes idle flows; called periodically.
  void on_tick(Instant now);

  [[nodiscard]] std::size_t queued_packets() const { return queued_packets_; }
  [[nodiscard]] std::size_t queued_bytes() const { return queued_bytes_; }
  [[nodiscard]] const LinkCounters& counters() const { return counters_; }

 private:
  static constexpr std::uint32_t kNoSlot = UINT32_MAX;
  static constexpr std::size_t kDepartureHistorySize = 32;

  /// A queued packet.
  struct Slot {
    std::array<std::uint8_t, kMaxDatagramSize> bytes;
    std::uint32_t size = 0;
    Endpoint to;
    std::uint32_t sequence = 0;
    std::uint32_t data_size = 0;
    Instant enqueued_at;
    /// Time at which the client times out; the packet is then dropped.
    Instant expires_at;
    /// Next packet of the same flow, or next free slot.
    std::uint32_t next = kNoSlot;
  };
  /// A packet that was sent.
  struct Departure {
    std::uint32_t sequence = 0;
    std::uint32_t data_size = 0;
    Instant sent_at;
  };
  /// Queued packets of one flow in sequence order, and the packets sent recently.
  struct FlowQueue {
    SteeredFlow flow;
    std::uint32_t first_slot = kNoSlot;
    /// Start tag of the first queued packet, or of the next packet to be queued.
    double start_tag = 0;
    /// Breaks ties between equal tags.
    std::uint64_t arrival_order = 0;
    std::size_t packet_count = 0;
    Instant last_active_at;
    /// Empty for a flow that is never late.
    std::optional<Instant> late_at;
    std::array<Departure, kDepartureHistorySize> recent_departures;
    std::size_t next_departure = 0;
  };

  std::uint32_t allocate_slot();
  void free_slot(std::uint32_t index);
  FlowQueue* find_queue(const SteeredFlow& flow);
  FlowQueue& find_or_create_queue(const SteeredFlow& flow);
  /// The active queue with the lowest start tag; nullptr when nothing is queued.
  FlowQueue* next_queue();
  void insert_by_sequence(FlowQueue& queue, std::uint32_t index);
  /// Unlinks the packet that `slot_link` refers to. Does not free its slot.
  std::uint32_t unlink_packet(FlowQueue& queue, std::uint32_t& slot_link);
  void record_departure(FlowQueue& queue, const Slot& slot, Instant now);
  void clear_queue(FlowQueue& queue);
  /// Drops the last packet of the flow with the most queued packets.
  void drop_from_longest_queue();

  LinkModel& link_;
  LinkCounters counters_;
  std::vector<Slot> slots_;
  std::uint32_t first_free_slot_ = kNoSlot;
  /// Indices are stable; queues listed in `free_queues_` are unused.
  std::vector<FlowQueue> queues_;
  std::vector<std::uint32_t> free_queues_;
  absl::flat_hash_map<SteeredFlow, std::uint32_t> queue_by_flow_;
  /// Indices of queues with at least one packet.
  std::vector<std::uint32_t> active_queues_;
  double virtual_time_ = 0;
  std::uint64_t last_arrival_order_ = 0;
  std::size_t queued_packets_ = 0;
  std::size_t queued_bytes_ = 0;
  /// Slot of the datagram returned by the last `dequeue`; freed by the next one.
  std::uint32_t dequeued_slot_ = kNoSlot;
};

}  // namespace gorsevalve
