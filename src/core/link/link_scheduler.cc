#include "core/link/link_scheduler.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// How much may be ahead in the link's own queue when a datagram is handed to it: two large packets
/// of a link of 2 Mbit/s. Less would leave the link idle between two turns of the event loop, more
/// would meet its end.
constexpr Duration kAhead = milliseconds(10);
/// A copy of a packet that left this lately is not needed: an acknowledgement takes a round trip
/// between two regions (25 ms each way) and what waits in the link's queue. Well below the 200 ms
/// after which senders repeat, so the next copy of a lost packet passes.
constexpr Duration kAnswerTime = milliseconds(80);
/// A flow without a packet for this long has forgotten its departures.
constexpr Duration kForgottenAfter = milliseconds(500);
/// A late flow pays this much for each octet, so it gets a sixteenth of the share of one that can
/// still be in time, and goes on. Played at 1.4 times what a link bears, uploads in time and late:
/// 8 and 63 % with 1, 16 and 48 % with 4, 34 and 27 % with 16 (tests/sim/test_link_workload).
constexpr double kLateCharge = 16;
constexpr std::size_t kFirstQueues = 64;

/// Differences of places that wrap around compare as signed numbers.
bool is_after(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) > 0; }

}  // namespace

bool LinkScheduler::may_send_at_once(Instant now) const {
  return waiting_ == 0 && link_.send_backlog(now) <= kAhead;
}

void LinkScheduler::on_sent_at_once(std::size_t size, Instant now) {
  ++counters_.sent_at_once;
  link_.on_sent(size, now);
}

std::uint32_t LinkScheduler::take_slot() {
  if (free_ == kNone) {
    slots_.emplace_back();
    return static_cast<std::uint32_t>(slots_.size() - 1);
  }
  const std::uint32_t index = free_;
  free_ = slots_[index].next;
  return index;
}

void LinkScheduler::free_slot(std::uint32_t index) {
  slots_[index].next = free_;
  free_ = index;
}

LinkScheduler::FlowQueue* LinkScheduler::queue_of(const SteeredFlow& flow) {
  if (by_flow_.empty()) {
    return nullptr;
  }
  const auto found = by_flow_.find(flow);
  return found == by_flow_.end() ? nullptr : &queues_[found->second];
}

LinkScheduler::FlowQueue& LinkScheduler::queue_for(const SteeredFlow& flow) {
  if (FlowQueue* known = queue_of(flow)) {
    return *known;
  }
  std::uint32_t index = kNone;
  if (unused_.empty()) {
    if (queues_.empty()) {
      queues_.reserve(kFirstQueues);
    }
    index = static_cast<std::uint32_t>(queues_.size());
    queues_.emplace_back();
  } else {
    index = unused_.back();
    unused_.pop_back();
  }
  FlowQueue& queue = queues_[index];
  queue = FlowQueue{};
  queue.flow = flow;
  queue.number = ++last_number_;
  by_flow_[flow] = index;
  return queue;
}

bool LinkScheduler::is_needless_copy(const ClientPacket& packet, Instant now) {
  if (packet.data_size == 0) {
    return false;
  }
  const FlowQueue* queue = queue_of(packet.flow);
  if (queue == nullptr) {
    return false;
  }
  for (std::uint32_t i = queue->first; i != kNone; i = slots_[i].next) {
    if (slots_[i].sequence == packet.sequence && slots_[i].data_size == packet.data_size) {
      ++counters_.copies_spared;
      return true;
    }
  }
  const auto left_lately = [&](const Departure& departure) {
    return departure.sequence == packet.sequence && departure.data_size == packet.data_size &&
           now - departure.at < kAnswerTime;
  };
  const bool is_needless =
      std::any_of(queue->departures.begin(), queue->departures.end(), left_lately);
  counters_.copies_spared += is_needless ? 1 : 0;
  return is_needless;
}

void LinkScheduler::insert(FlowQueue& queue, std::uint32_t index) {
  Slot& slot = slots_[index];
  std::uint32_t* place = &queue.first;
  while (*place != kNone && !is_after(slots_[*place].sequence, slot.sequence)) {
    place = &slots_[*place].next;
  }
  slot.next = *place;
  *place = index;
}

std::span<std::uint8_t> LinkScheduler::enqueue(const ClientPacket& packet, const Endpoint& to,
                                               std::size_t size, const PacketPatience& patience,
                                               Instant now) {
  const bool is_flow_new = by_flow_.size() >= kMaxFlows && queue_of(packet.flow) == nullptr;
  if (size > kMaxSize || is_flow_new) {
    ++counters_.dropped_when_full;
    return {};
  }
  if (waiting_ >= kMaxPackets) {
    drop_from_longest();
  }
  FlowQueue& queue = queue_for(packet.flow);
  const std::uint32_t index = take_slot();
  Slot& slot = slots_[index];
  slot.size = static_cast<std::uint32_t>(size);
  slot.to = to;
  slot.sequence = packet.sequence;
  slot.data_size = packet.data_size;
  slot.since = now;
  slot.given_up_at = now + patience.timeout;
  if (queue.packets == 0) {
    queue.tag = std::max(queue.tag, present_tag_);
    busy_.push_back(by_flow_[packet.flow]);
  }
  if (!queue.late_at && patience.late_after > Duration::zero()) {
    queue.late_at = now + patience.late_after;
  }
  insert(queue, index);
  ++queue.packets;
  queue.last_used = now;
  ++waiting_;
  waiting_octets_ += size;
  return std::span(slot.bytes).first(size);
}

LinkScheduler::FlowQueue* LinkScheduler::next_flow() {
  FlowQueue* best = nullptr;
  for (const std::uint32_t index : busy_) {
    FlowQueue& queue = queues_[index];
    const bool is_sooner = best == nullptr || queue.tag < best->tag ||
                           (queue.tag == best->tag && queue.number < best->number);
    best = is_sooner ? &queue : best;
  }
  return best;
}

std::uint32_t LinkScheduler::take_out(FlowQueue& queue, std::uint32_t& place) {
  const std::uint32_t index = place;
  place = slots_[index].next;
  --queue.packets;
  --waiting_;
  waiting_octets_ -= slots_[index].size;
  if (queue.packets == 0) {
    std::erase(busy_, by_flow_[queue.flow]);
  }
  return index;
}

void LinkScheduler::drop_waiting(FlowQueue& queue) {
  while (queue.packets > 0) {
    free_slot(take_out(queue, queue.first));
  }
}

void LinkScheduler::note_departure(FlowQueue& queue, const Slot& slot, Instant now) {
  const bool is_late = queue.late_at && now >= *queue.late_at;
  queue.tag += is_late ? kLateCharge * slot.size : slot.size;
  queue.last_used = now;
  // Openings and bare acknowledgements carry the place of the data that follows them.
  if (slot.data_size == 0) {
    return;
  }
  queue.departures[queue.next_departure] = {slot.sequence, slot.data_size, now};
  queue.next_departure = (queue.next_departure + 1) % kDepartures;
}

std::optional<DueDatagram> LinkScheduler::take_due(Instant now) {
  if (given_ != kNone) {
    free_slot(std::exchange(given_, kNone));
  }
  while (waiting_ > 0 && link_.send_backlog(now) <= kAhead) {
    FlowQueue& queue = *next_flow();
    const std::uint32_t index = take_out(queue, queue.first);
    const Slot& slot = slots_[index];
    if (now >= slot.given_up_at) {
      ++counters_.dropped_as_given_up;
      free_slot(index);
      continue;
    }
    // Moves on with what is served, so that flows that come without end do not pass those that wait
    // for ever.
    present_tag_ = std::max(present_tag_, queue.tag) +
                   static_cast<double>(slot.size) / static_cast<double>(busy_.size() + 1);
    note_departure(queue, slot, now);
    link_.on_sent(slot.size, now);
    ++counters_.sent_after_waiting;
    given_ = index;
    return DueDatagram{slot.to, ByteView(slot.bytes).first(slot.size), now - slot.since};
  }
  return std::nullopt;
}

std::optional<Instant> LinkScheduler::next_turn() const {
  if (waiting_ == 0) {
    return std::nullopt;
  }
  return link_.send_backlog_ends() - kAhead;
}

void LinkScheduler::drop_from_longest() {
  FlowQueue* longest = nullptr;
  for (const std::uint32_t index : busy_) {
    FlowQueue& queue = queues_[index];
    longest = longest == nullptr || queue.packets > longest->packets ? &queue : longest;
  }
  std::uint32_t* last = &longest->first;
  while (slots_[*last].next != kNone) {
    last = &slots_[*last].next;
  }
  free_slot(take_out(*longest, *last));
  ++counters_.dropped_when_full;
}

void LinkScheduler::drop_flow(const SteeredFlow& flow) {
  if (FlowQueue* queue = queue_of(flow)) {
    counters_.dropped_as_given_up += queue->packets;
    drop_waiting(*queue);
  }
}

void LinkScheduler::on_tick(Instant now) {
  absl::erase_if(by_flow_, [&](const auto& one) {
    const FlowQueue& queue = queues_[one.second];
    const bool rests = queue.packets == 0 && now - queue.last_used >= kForgottenAfter;
    if (rests) {
      unused_.push_back(one.second);
    }
    return rests;
  });
}

}  // namespace gorsevalve
