#include "core/link/link_scheduler.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// Maximum backlog of the link when a datagram is passed to it: two large packets on a 2 Mbit/s
/// link. Less would leave the link idle between two iterations of the event loop; more would
/// overflow its queue.
constexpr Duration kMaxLinkBacklog = milliseconds(10);
/// A retransmission within this time after the packet was sent is redundant. Covers a round trip
/// between two regions (25 ms each way) and the queueing delay. Well below the minimum
/// retransmission timeout of 200 ms: after a loss, the next retransmission is forwarded.
constexpr Duration kAcknowledgementTime = milliseconds(80);
/// A flow without packets for this long is removed with its departure history.
constexpr Duration kIdleFlowTimeout = milliseconds(500);
/// Cost factor of each byte of a late flow: it gets one sixteenth of the share of a flow that can
/// still be in time, but does not starve. A smaller factor lets fewer uploads finish in time when
/// the link is overloaded.
constexpr double kLateFlowCost = 16;
constexpr std::size_t kInitialQueueCapacity = 64;

/// Compares sequence numbers modulo 2^32.
bool is_sequence_after(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) > 0;
}

}  // namespace

bool LinkScheduler::can_send_immediately(Instant now) const {
  return queued_packets_ == 0 && link_.send_backlog(now) <= kMaxLinkBacklog;
}

void LinkScheduler::on_sent_immediately(std::size_t size, Instant now) {
  ++counters_.sent_immediately;
  link_.on_sent(size, now);
}

std::uint32_t LinkScheduler::allocate_slot() {
  if (first_free_slot_ == kNoSlot) {
    slots_.emplace_back();
    return static_cast<std::uint32_t>(slots_.size() - 1);
  }
  const std::uint32_t index = first_free_slot_;
  first_free_slot_ = slots_[index].next;
  return index;
}

void LinkScheduler::free_slot(std::uint32_t index) {
  slots_[index].next = first_free_slot_;
  first_free_slot_ = index;
}

LinkScheduler::FlowQueue* LinkScheduler::find_queue(const SteeredFlow& flow) {
  if (queue_by_flow_.empty()) {
    return nullptr;
  }
  const auto found = queue_by_flow_.find(flow);
  return found == queue_by_flow_.end() ? nullptr : &queues_[found->second];
}

LinkScheduler::FlowQueue& LinkScheduler::find_or_create_queue(const SteeredFlow& flow) {
  if (FlowQueue* existing = find_queue(flow)) {
    return *existing;
  }
  std::uint32_t index = kNoSlot;
  if (free_queues_.empty()) {
    if (queues_.empty()) {
      queues_.reserve(kInitialQueueCapacity);
    }
    index = static_cast<std::uint32_t>(queues_.size());
    queues_.emplace_back();
  } else {
    index = free_queues_.back();
    free_queues_.pop_back();
  }
  FlowQueue& queue = queues_[index];
  queue = FlowQueue{};
  queue.flow = flow;
  queue.arrival_order = ++last_arrival_order_;
  queue_by_flow_[flow] = index;
  return queue;
}

bool LinkScheduler::is_redundant_retransmission(const ClientPacket& packet, Instant now) {
  if (packet.data_size == 0) {
    return false;
  }
  const FlowQueue* queue = find_queue(packet.flow);
  if (queue == nullptr) {
    return false;
  }
  for (std::uint32_t i = queue->first_slot; i != kNoSlot; i = slots_[i].next) {
    if (slots_[i].sequence == packet.sequence && slots_[i].data_size == packet.data_size) {
      ++counters_.retransmissions_suppressed;
      return true;
    }
  }
  const auto was_sent_recently = [&](const Departure& departure) {
    return departure.sequence == packet.sequence && departure.data_size == packet.data_size &&
           now - departure.sent_at < kAcknowledgementTime;
  };
  const bool is_redundant = std::any_of(queue->recent_departures.begin(),
                                        queue->recent_departures.end(), was_sent_recently);
  counters_.retransmissions_suppressed += is_redundant ? 1 : 0;
  return is_redundant;
}

void LinkScheduler::insert_by_sequence(FlowQueue& queue, std::uint32_t index) {
  Slot& slot = slots_[index];
  std::uint32_t* slot_link = &queue.first_slot;
  while (*slot_link != kNoSlot && !is_sequence_after(slots_[*slot_link].sequence, slot.sequence)) {
    slot_link = &slots_[*slot_link].next;
  }
  slot.next = *slot_link;
  *slot_link = index;
}

std::span<std::uint8_t> LinkScheduler::enqueue(const ClientPacket& packet, const Endpoint& to,
                                               std::size_t size, const PacketDeadlines& deadlines,
                                               Instant now) {
  const bool exceeds_flow_limit =
      queue_by_flow_.size() >= kMaxFlows && find_queue(packet.flow) == nullptr;
  if (size > kMaxDatagramSize || exceeds_flow_limit) {
    ++counters_.dropped_queue_full;
    return {};
  }
  if (queued_packets_ >= kMaxQueuedPackets) {
    drop_from_longest_queue();
  }
  FlowQueue& queue = find_or_create_queue(packet.flow);
  const std::uint32_t index = allocate_slot();
  Slot& slot = slots_[index];
  slot.size = static_cast<std::uint32_t>(size);
  slot.to = to;
  slot.sequence = packet.sequence;
  slot.data_size = packet.data_size;
  slot.enqueued_at = now;
  slot.expires_at = now + deadlines.timeout;
  if (queue.packet_count == 0) {
    queue.start_tag = std::max(queue.start_tag, virtual_time_);
    active_queues_.push_back(queue_by_flow_[packet.flow]);
  }
  if (!queue.late_at && deadlines.late_after > Duration::zero()) {
    queue.late_at = now + deadlines.late_after;
  }
  insert_by_sequence(queue, index);
  ++queue.packet_count;
  queue.last_active_at = now;
  ++queued_packets_;
  queued_bytes_ += size;
  return std::span(slot.bytes).first(size);
}

LinkScheduler::FlowQueue* LinkScheduler::next_queue() {
  FlowQueue* best = nullptr;
  for (const std::uint32_t index : active_queues_) {
    FlowQueue& queue = queues_[index];
    const bool is_earlier =
        best == nullptr || queue.start_tag < best->start_tag ||
        (queue.start_tag == best->start_tag && queue.arrival_order < best->arrival_order);
    best = is_earlier ? &queue : best;
  }
  return best;
}

std::uint32_t LinkScheduler::unlink_packet(FlowQueue& queue, std::uint32_t& slot_link) {
  const std::uint32_t index = slot_link;
  slot_link = slots_[index].next;
  --queue.packet_count;
  --queued_packets_;
  queued_bytes_ -= slots_[index].size;
  if (queue.packet_count == 0) {
    std::erase(active_queues_, queue_by_flow_[queue.flow]);
  }
  return index;
}

void LinkScheduler::clear_queue(FlowQueue& queue) {
  while (queue.packet_count > 0) {
    free_slot(unlink_packet(queue, queue.first_slot));
  }
}

void LinkScheduler::record_departure(FlowQueue& queue, const Slot& slot, Instant now) {
  const bool is_late = queue.late_at && now >= *queue.late_at;
  queue.start_tag += is_late ? kLateFlowCost * slot.size : slot.size;
  queue.last_active_at = now;
  // Opening packets and pure acknowledgements have the sequence number of the data that follows,
  // which must not be taken for a retransmission of them.
  if (slot.data_size == 0) {
    return;
  }
  queue.recent_departures[queue.next_departure] = {slot.sequence, slot.data_size, now};
  queue.next_departure = (queue.next_departure + 1) % kDepartureHistorySize;
}

std::optional<DequeuedDatagram> LinkScheduler::dequeue(Instant now) {
  if (dequeued_slot_ != kNoSlot) {
    free_slot(std::exchange(dequeued_slot_, kNoSlot));
  }
  while (queued_packets_ > 0 && link_.send_backlog(now) <= kMaxLinkBacklog) {
    FlowQueue& queue = *next_queue();
    const std::uint32_t index = unlink_packet(queue, queue.first_slot);
    const Slot& slot = slots_[index];
    if (now >= slot.expires_at) {
      ++counters_.dropped_expired;
      free_slot(index);
      continue;
    }
    // Virtual time advances with each packet sent, which keeps a continuous arrival of new flows
    // from starving queued ones.
    virtual_time_ = std::max(virtual_time_, queue.start_tag) +
                    static_cast<double>(slot.size) / static_cast<double>(active_queues_.size() + 1);
    record_departure(queue, slot, now);
    link_.on_sent(slot.size, now);
    ++counters_.sent_after_queueing;
    dequeued_slot_ = index;
    return DequeuedDatagram{slot.to, ByteView(slot.bytes).first(slot.size), now - slot.enqueued_at};
  }
  return std::nullopt;
}

std::optional<Instant> LinkScheduler::next_dequeue_at() const {
  if (queued_packets_ == 0) {
    return std::nullopt;
  }
  return link_.send_backlog_end() - kMaxLinkBacklog;
}

void LinkScheduler::drop_from_longest_queue() {
  FlowQueue* longest = nullptr;
  for (const std::uint32_t index : active_queues_) {
    FlowQueue& queue = queues_[index];
    longest = longest == nullptr || queue.packet_count > longest->packet_count ? &queue : longest;
  }
  std::uint32_t* last = &longest->first_slot;
  while (slots_[*last].next != kNoSlot) {
    last = &slots_[*last].next;
  }
  free_slot(unlink_packet(*longest, *last));
  ++counters_.dropped_queue_full;
}

void LinkScheduler::drop_flow(const SteeredFlow& flow) {
  if (FlowQueue* queue = find_queue(flow)) {
    counters_.dropped_expired += queue->packet_count;
    clear_queue(*queue);
  }
}

void LinkScheduler::on_tick(Instant now) {
  absl::erase_if(queue_by_flow_, [&](const auto& entry) {
    const FlowQueue& queue = queues_[entry.second];
    const bool is_idle = queue.packet_count == 0 && now - queue.last_active_at >= kIdleFlowTimeout;
    if (is_idle) {
      free_queues_.push_back(entry.second);
    }
    return is_idle;
  });
}

}  // namespace gorsevalve
