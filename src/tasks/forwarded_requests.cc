#include "tasks/forwarded_requests.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "tasks/log.h"

namespace gorsevalve {
namespace {

bool is_committed(const ControlNode& node, const ForwardedRequests::ForwardedChange& said) {
  return std::visit([&node](const auto& one) { return node.is_committed(one); }, said);
}

}  // namespace

void ForwardedRequests::add(ForwardedChange said, SteeringCallback callback,
                            std::function<void()> decide_again, Instant deadline) {
  if (const auto* announced = std::get_if<RegisteredTarget>(&said)) {
    unsent_.announced.push_back(*announced);
  } else {
    unsent_.ended.push_back(std::get<TargetIncarnation>(said));
  }
  pending_.push_back({std::move(said), std::move(callback), std::move(decide_again), deadline});
  next_deadline_ = std::min(next_deadline_, deadline);
}

ForwardedRegistrations ForwardedRequests::take_unsent() { return std::exchange(unsent_, {}); }

void ForwardedRequests::complete(const ControlNode& node, Instant now) {
  const Revision revision = node.state().fleet().revision;
  if (pending_.empty() || (revision == revision_ && now < next_deadline_)) {
    return;
  }
  revision_ = revision;
  next_deadline_ = Instant::max();
  std::size_t undecided = 0;
  std::vector<PendingRequest> still_waiting;
  for (auto& waiting : std::exchange(pending_, {})) {
    const bool is_decided = is_committed(node, waiting.change);
    if (is_decided || now >= waiting.deadline) {
      undecided += is_decided ? 0 : 1;
      waiting.callback({is_decided ? SteeringStatus::kAcknowledged : SteeringStatus::kUnknown, {}});
      continue;
    }
    next_deadline_ = std::min(next_deadline_, waiting.deadline);
    still_waiting.push_back(std::move(waiting));
  }
  if (undecided > 0) {
    log_event(LogEvent::kForwardedUndecided, {{"calls", undecided}, {"revision", revision}});
  }
  // A callback may have added more.
  std::move(pending_.begin(), pending_.end(), std::back_inserter(still_waiting));
  pending_ = std::move(still_waiting);
}

void ForwardedRequests::set_leader(const std::optional<Endpoint>& leader) {
  if (leader == leader_) {
    return;
  }
  leader_ = leader;
  unsent_ = {};
  for (const auto& waiting : std::exchange(pending_, {})) {
    waiting.retry();
  }
}

}  // namespace gorsevalve
