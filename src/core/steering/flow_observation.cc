/// FlowSteering's tracking of client packets: open flows, requests in flight, responses, and
/// missing replies.
#include <algorithm>

#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

/// A request without a response for this long is stalled. Exceeds the queueing time of a healthy
/// target and the recovery time of a lost packet.
constexpr Duration kStallTimeout = std::chrono::milliseconds(400);
/// Data that repeats earlier than this was duplicated or reordered by the network: clients
/// retransmit after at least 200 ms.
constexpr Duration kMinRetransmissionInterval = std::chrono::milliseconds(150);
/// Retransmissions that raise a suspicion even if local congestion may explain them. Probe refusals
/// remain evidence on a congested link. The third one is sent 1.4 s after the request.
constexpr std::uint32_t kRetransmissionsOnCongestedLink = 3;

}  // namespace

void FlowSteering::end_request(FlowEntry& entry) {
  if (!entry.request_started_at) {
    return;
  }
  entry.request_started_at.reset();
  TargetScore& score = scores_.at(entry.target);
  score.busy_flows -= std::min(score.busy_flows, 1U);
}

void FlowSteering::remove_load(const FlowEntry& entry) {
  const TargetScore* known = scores_.find(entry.target);
  if (known == nullptr || entry.phase == FlowPhase::kClosing) {
    return;
  }
  TargetScore& score = scores_.at(entry.target);
  score.open_flows -= std::min(score.open_flows, 1U);
  if (entry.request_started_at) {
    score.busy_flows -= std::min(score.busy_flows, 1U);
  }
}

void FlowSteering::observe_request(FlowEntry& entry, const ClientPacket& packet, Instant now) {
  const bool answered = packet.acknowledged != entry.acknowledged;
  if (answered) {
    reachability_.on_progress(entry.target, now);
    if (zone_paths_.is_checking()) {
      zone_paths_.on_progress(entry.target, entry.request_started_at.value_or(entry.last_seen),
                              now);
    }
  }
  if (entry.request_started_at && answered) {
    on_response(entry.target, now - *entry.request_started_at, now);
    end_request(entry);
  }
  if (packet.data_size > 0 && entry.request_started_at) {
    observe_retransmission(entry, packet, now);
  } else if (packet.data_size > 0) {
    entry.request_started_at = now;
    entry.sequence = packet.sequence;
    entry.last_data_at = now;
    entry.last_new_data_at = now;
    entry.retransmissions = 0;
    scores_.on_request(entry.target);
    if (now >= observes_from_) {
      requests_.push_back({packet.flow, entry.target, now});
    }
  }
  entry.acknowledged = packet.acknowledged;
}

void FlowSteering::observe_retransmission(FlowEntry& entry, const ClientPacket& packet,
                                          Instant now) {
  // Sequence numbers wrap around, so their difference is compared as a signed number.
  if (static_cast<std::int32_t>(packet.sequence - entry.sequence) > 0) {
    // New data: the target acknowledged earlier data of the transfer.
    entry.sequence = packet.sequence;
    entry.last_data_at = now;
    entry.last_new_data_at = now;
    entry.retransmissions = 0;
    return;
  }
  if (now - entry.last_data_at < kMinRetransmissionInterval) {
    return;
  }
  const Instant sent_at = entry.last_data_at;
  const bool may_be_congestion = may_be_local_congestion(sent_at);
  entry.last_data_at = now;
  ++entry.retransmissions;
  if (may_be_congestion && entry.retransmissions < kRetransmissionsOnCongestedLink) {
    return;
  }
  const TargetScore& score = scores_.at(entry.target);
  const bool has_newer_response = score.responded_at > *entry.request_started_at;
  // With queueing, a first retransmission does not indicate a failed target: targets delay the
  // acknowledgement of a single packet until its response or retransmission.
  const bool has_low_latency =
      score.response_us > 0 && score.response_us < ResponseTimes::kLowLatencyUs;
  if (entry.retransmissions > 1 || (has_low_latency && !has_newer_response)) {
    suspect_target(entry.target, now);
  }
  if (entry.retransmissions > 1 && !may_be_congestion) {
    reachability_.on_unacknowledged_flow(entry.target, sent_at);
  }
}

void FlowSteering::observe_packet(const ClientPacket& packet, TargetId target, Instant now) {
  FlowEntry* entry = flows_.find(packet.flow);
  // A flow opened through another balancer gives no handshake time.
  const bool opened_here = entry != nullptr && entry->phase == FlowPhase::kOpening;
  // A reply after a retransmission may belong to the earlier packet.
  const bool answers_last_packet =
      opened_here && entry->target == target && !entry->is_retransmitted;
  const Instant opening_at = entry == nullptr ? now : entry->last_seen;
  if (entry != nullptr && entry->target != target) {
    remove_load(*entry);
    entry->target = target;
    entry->phase = FlowPhase::kOpening;
    entry->is_retransmitted = false;
    entry->request_started_at.reset();
    ++scores_.at(target).open_flows;
  }
  if (entry == nullptr || (packet.opens && entry->phase == FlowPhase::kClosing)) {
    const bool ends = packet.closes || packet.resets;
    FlowEntry new_entry;
    new_entry.target = target;
    new_entry.acknowledged = packet.acknowledged;
    new_entry.phase = ends ? FlowPhase::kClosing : FlowPhase::kOpening;
    entry = flows_.insert(packet.flow, new_entry);
    if (entry == nullptr) {
      return;
    }
    scores_.at(target).open_flows += ends ? 0 : 1;
  }
  entry->last_seen = now;
  if (packet.opens || entry->phase == FlowPhase::kClosing) {
    return;
  }
  if (entry->phase == FlowPhase::kOpening) {
    entry->phase = FlowPhase::kOpen;
    entry->acknowledged = packet.acknowledged;
    if (opened_here) {
      on_opened(*entry, opening_at, now);
    }
    if (answers_last_packet) {
      on_address_held(target, opening_at, now);
    }
  }
  observe_request(*entry, packet, now);
  if (packet.closes || packet.resets) {
    remove_load(*entry);
    entry->request_started_at.reset();
    entry->phase = FlowPhase::kClosing;
  }
}

void FlowSteering::check_request_timeouts(Instant now) {
  while (!requests_.empty() && now - requests_.front().sent_at >= kStallTimeout) {
    const PendingReply& request = requests_.front();
    const FlowEntry* entry = request.is_resolved ? nullptr : flows_.find(request.flow);
    const bool is_stalled =
        entry != nullptr && entry->target == request.target && entry->phase == FlowPhase::kOpen &&
        entry->request_started_at == request.sent_at &&
        now - entry->last_new_data_at >= kStallTimeout && !may_be_local_congestion(request.sent_at);
    if (is_stalled) {
      scores_.on_stalled_request(request.target);
    }
    requests_.pop_front();
    zone_checked_requests_ -= std::min<std::size_t>(zone_checked_requests_, 1);
  }
}

void FlowSteering::check_reply_timeouts(Instant now) {
  probe_overdue_openings(now);
  check_zone_timeouts(now);
  check_opening_timeouts(now);
  check_request_timeouts(now);
}

}  // namespace gorsevalve
