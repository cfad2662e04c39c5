#include "core/control/update_publisher.h"

#include <iterator>
#include <utility>

#include "core/control/timing.h"

namespace gorsevalve {
namespace {

/// The cache is cleared when it holds more updates than this. It has one per base revision.
constexpr std::size_t kMaxCachedUpdates = 16;

}  // namespace

UpdatePublisher::UpdatePublisher(const ControlState& state, const NodeRegistry& nodes,
                                 ControlOutput& output)
    : state_(state), nodes_(nodes), output_(output) {}

bool UpdatePublisher::is_subscribed(const Endpoint& address, Instant now) const {
  const NodeEntry* entry = nodes_.find(address);
  return entry != nullptr && entry->is_local &&
         now - entry->last_seen < control_timing::kMemberTimeout;
}

void UpdatePublisher::on_heartbeat(const Endpoint& from, const NodeHeartbeat& heartbeat,
                                   Instant now) {
  const auto known = subscribers_.find(from);
  if (known != subscribers_.end() && known->second.is_out_of_order(heartbeat)) {
    return;
  }
  if (!heartbeat.wants_update) {
    // The balancer uses or searches for another replica. Pushes sent meanwhile would be
    // dropped, but would count as sent when it returns.
    if (!faults_.assume_sends_delivered) {
      subscribers_.erase(from);
    }
    return;
  }
  const Revision revision = state_.fleet().revision;
  UpdateProgress& progress = subscribers_[from];
  progress.on_heartbeat(heartbeat, now);
  const bool is_same = heartbeat.revision == revision && heartbeat.digest == state_.digest();
  const bool is_ahead = heartbeat.revision > revision && !faults_.send_older_revisions;
  if (is_same || is_ahead) {
    progress.on_applied(heartbeat.revision);
    return;
  }
  const bool in_flight = progress.is_in_flight(revision, now) && !heartbeat.has_gap;
  const bool counts_as_sent =
      faults_.assume_sends_delivered && progress.sent_revision() == revision;
  const bool may_arrive = heartbeat.revision < revision && (in_flight || counts_as_sent);
  if (!may_arrive) {
    send_catch_up(from, heartbeat, progress, now);
  }
}

void UpdatePublisher::send_catch_up(const Endpoint& to, const NodeHeartbeat& heartbeat,
                                    UpdateProgress& progress, Instant now) {
  if (progress.sent_revision() > heartbeat.revision) {
    output_.on_update_retransmitted(
        {to, heartbeat.revision, progress.sent_revision(), heartbeat.has_gap});
  }
  if (send_update(to, heartbeat.revision, heartbeat.digest)) {
    progress.on_catch_up_sent(state_.fleet().revision, now);
  } else {
    subscribers_.erase(to);
  }
}

bool UpdatePublisher::send_update(const Endpoint& to, Revision revision, std::uint64_t digest) {
  const FleetState& fleet = state_.fleet();
  // A balancer with a different state at the same revision gets a snapshot.
  const bool needs_snapshot = revision == 0 || revision > fleet.revision ||
                              (revision == fleet.revision && digest != state_.digest());
  return output_.send_shared(to, cached_update(revision, needs_snapshot));
}

std::optional<FleetUpdate> UpdatePublisher::changes_after(Revision revision) const {
  FleetUpdate update;
  update.digest = state_.digest();
  for (Revision at = revision; at != state_.fleet().revision;) {
    const FleetDelta* delta = state_.delta_after(at);
    if (delta == nullptr) {
      return std::nullopt;
    }
    update.deltas.push_back(*delta);
    at = delta->revision;
  }
  return update;
}

SharedNodeMessage UpdatePublisher::cached_update(Revision revision, bool needs_snapshot) {
  const FleetState& fleet = state_.fleet();
  if (cached_revision_ != fleet.revision || update_cache_.size() > kMaxCachedUpdates) {
    update_cache_.clear();
    cached_revision_ = fleet.revision;
  }
  const auto known = update_cache_.find(needs_snapshot ? 0 : revision);
  if (known != update_cache_.end()) {
    return known->second;
  }
  std::optional<FleetUpdate> changes = needs_snapshot ? std::nullopt : changes_after(revision);
  SharedNodeMessage& shared = update_cache_[changes ? revision : 0];
  if (changes) {
    shared = std::make_shared<const NodeMessage>(std::move(*changes));
  } else if (shared == nullptr) {
    FleetUpdate update;
    update.digest = state_.digest();
    update.is_snapshot = true;
    update.snapshot = fleet;
    shared = std::make_shared<const NodeMessage>(std::move(update));
  }
  return shared;
}

void UpdatePublisher::push(Instant now) {
  const Revision revision = state_.fleet().revision;
  if (revision == pushed_revision_) {
    return;
  }
  pushed_revision_ = revision;
  for (auto subscriber = subscribers_.begin(); subscriber != subscribers_.end();) {
    const bool is_connected = push_to(subscriber->first, subscriber->second, now);
    subscriber = is_connected ? std::next(subscriber) : subscribers_.erase(subscriber);
  }
}

bool UpdatePublisher::push_to(const Endpoint& address, UpdateProgress& progress, Instant now) {
  const Revision revision = state_.fleet().revision;
  if (progress.sent_revision() >= revision) {
    return true;
  }
  if (!is_subscribed(address, now)) {
    return false;
  }
  if (!send_update(address, progress.sent_revision(), 0) && !faults_.assume_sends_delivered) {
    return false;
  }
  progress.on_pushed(revision, now);
  return true;
}

void UpdatePublisher::broadcast(const SharedNodeMessage& message) {
  for (const auto& [address, progress] : subscribers_) {
    output_.send_shared(address, message);
  }
}

void UpdatePublisher::drop_timed_out(Instant now) {
  std::erase_if(subscribers_,
                [&](const auto& subscriber) { return !is_subscribed(subscriber.first, now); });
}

}  // namespace gorsevalve
