/// When and in which order a balancer sends what it forwards over a narrow link. The link's own
/// queue is short: of a burst it drops what does not fit, and senders repeat that only after 200
/// ms. So what does not leave at once waits here and leaves at the link's rate.
///
/// Order: start-time fair queueing between flows (Goyal, Vin, Cheng, "Start-time fair queueing",
/// 1996). Each flow's next packet has a tag, the flow's share of the link so far; the least tag
/// goes first, and a flow that did not wait begins at the present one. So a short request passes
/// transfers that wait, transfers share evenly, and nothing starves. Within a flow packets leave in
/// the order of the caller's stream, however they came, so that targets acknowledge steadily.
///
/// A state machine without sockets or clocks. On a link of unknown rate nothing waits.
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

/// Counters since the start.
struct LinkCounters {
  std::uint64_t sent_immediately = 0;
  std::uint64_t sent_after_queueing = 0;
  /// Copies of packets that waited, or had left too lately to be answered yet.
  std::uint64_t retransmissions_suppressed = 0;
  /// For want of room.
  std::uint64_t dropped_queue_full = 0;
  /// Their callers had left.
  std::uint64_t dropped_expired = 0;
};

/// How long a packet's caller waits.
struct PacketDeadlines {
  /// The packet is of no use afterwards.
  Duration timeout{0};
  /// From its first packet here, the flow is late after this time; 0 for never.
  Duration late_after{0};
};

/// A datagram whose turn it is; `bytes` are valid until the next call.
struct DequeuedDatagram {
  Endpoint to;
  ByteView bytes;
  Duration queueing_delay{0};
};

class LinkScheduler {
 public:
  /// Packets that wait at most: 2.5 s of a link of 2 Mbit/s, or 0.7 MB of memory.
  static constexpr std::size_t kMaxQueuedPackets = 512;
  /// Flows known at most: those with a packet waiting, and those whose packets left lately. 3 MB.
  static constexpr std::size_t kMaxFlows = 4096;
  /// Largest datagram that may wait, in octets.
  static constexpr std::size_t kMaxDatagramSize = 1344;

  /// `link` must outlive the scheduler.
  explicit LinkScheduler(LinkModel& link) : link_(link) {}

  /// True when a datagram may leave without waiting.
  [[nodiscard]] bool can_send_immediately(Instant now) const;
  void on_sent_immediately(std::size_t size, Instant now);

  /// True for a copy of a packet that waits here, or that left so lately that its acknowledgement
  /// may be on its way. It is not needed: senders repeat each 200 ms and more until they are
  /// answered, so if the one that left is lost, a later copy follows and passes.
  [[nodiscard]] bool is_redundant_retransmission(const ClientPacket& packet, Instant now);

  /// Room for a datagram of `size` octets in place of a caller's packet; empty when it is dropped.
  std::span<std::uint8_t> enqueue(const ClientPacket& packet, const Endpoint& to, std::size_t size,
                                  const PacketDeadlines& patience, Instant now);
  /// The next datagram that may leave now; nothing when none waits or the link has no room yet.
  std::optional<DequeuedDatagram> dequeue(Instant now);
  /// When `take_due` should be called next; nothing when nothing waits.
  [[nodiscard]] std::optional<Instant> next_dequeue_at() const;

  /// The caller ended the flow: what waits of it is of no use.
  void drop_flow(const SteeredFlow& flow);
  /// Forgets flows that have rested; to be called now and then.
  void on_tick(Instant now);

  [[nodiscard]] std::size_t queued_packets() const { return queued_packets_; }
  [[nodiscard]] std::size_t queued_bytes() const { return queued_bytes_; }
  [[nodiscard]] const LinkCounters& counters() const { return counters_; }

 private:
  static constexpr std::uint32_t kNoSlot = UINT32_MAX;
  static constexpr std::size_t kDepartureHistorySize = 32;

  /// A packet that waits.
  struct Slot {
    std::array<std::uint8_t, kMaxDatagramSize> bytes;
    std::uint32_t size = 0;
    Endpoint to;
    std::uint32_t sequence = 0;
    std::uint32_t data_size = 0;
    Instant enqueued_at;
    /// Its caller waits no longer.
    Instant expires_at;
    /// The flow's next packet, or the next free slot.
    std::uint32_t next = kNoSlot;
  };
  /// A packet that left.
  struct Departure {
    std::uint32_t sequence = 0;
    std::uint32_t data_size = 0;
    Instant sent_at;
  };
  /// What waits of one flow, in the order of its stream, and what left lately.
  struct FlowQueue {
    SteeredFlow flow;
    std::uint32_t first_slot = kNoSlot;
    /// Tag of the first packet that waits; after the last one left, of the next to come.
    double start_tag = 0;
    /// Order of arrival, between equal tags.
    std::uint64_t arrival_order = 0;
    std::size_t packet_count = 0;
    Instant last_active_at;
    /// Nothing for a flow that is never late.
    std::optional<Instant> late_at;
    std::array<Departure, kDepartureHistorySize> recent_departures;
    std::size_t next_departure = 0;
  };

  std::uint32_t allocate_slot();
  void free_slot(std::uint32_t index);
  FlowQueue* find_queue(const SteeredFlow& flow);
  FlowQueue& find_or_create_queue(const SteeredFlow& flow);
  /// The flow whose turn it is; nullptr when nothing waits.
  FlowQueue* next_queue();
  void insert_by_sequence(FlowQueue& queue, std::uint32_t index);
  /// Takes the packet out that a link of the queue leads to, and frees nothing.
  std::uint32_t unlink_packet(FlowQueue& queue, std::uint32_t& place);
  void record_departure(FlowQueue& queue, const Slot& slot, Instant now);
  void clear_queue(FlowQueue& queue);
  /// Makes room by dropping the last packet of the flow that has most waiting.
  void drop_from_longest_queue();

  LinkModel& link_;
  LinkCounters counters_;
  std::vector<Slot> slots_;
  std::uint32_t first_free_slot_ = kNoSlot;
  /// Queues keep their places; those in `free_queues_` belong to no flow.
  std::vector<FlowQueue> queues_;
  std::vector<std::uint32_t> free_queues_;
  absl::flat_hash_map<SteeredFlow, std::uint32_t> queue_by_flow_;
  /// Queues in which something waits.
  std::vector<std::uint32_t> active_queues_;
  double virtual_time_ = 0;
  std::uint64_t last_arrival_order_ = 0;
  std::size_t queued_packets_ = 0;
  std::size_t queued_bytes_ = 0;
  /// The packet that was given out last.
  std::uint32_t dequeued_slot_ = kNoSlot;
};

}  // namespace gorsevalve
