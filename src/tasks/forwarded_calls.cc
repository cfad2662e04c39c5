#include "tasks/forwarded_calls.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "tasks/log.h"

namespace gorsevalve {
namespace {

bool is_held(const ControlNode& node, const ForwardedCalls::Said& said) {
  return std::visit([&node](const auto& one) { return node.is_committed(one); }, said);
}

}  // namespace

void ForwardedCalls::add(Said said, SteeringCallback callback, std::function<void()> decide_again,
                         Instant deadline) {
  if (const auto* announced = std::get_if<RegisteredTarget>(&said)) {
    unsent_.announced.push_back(*announced);
  } else {
    unsent_.ended.push_back(std::get<TargetIncarnation>(said));
  }
  waiting_.push_back({std::move(said), std::move(callback), std::move(decide_again), deadline});
  next_deadline_ = std::min(next_deadline_, deadline);
}

ForwardedRegistrations ForwardedCalls::take_unsent() { return std::exchange(unsent_, {}); }

void ForwardedCalls::answer(const ControlNode& node, Instant now) {
  const Revision revision = node.state().fleet().revision;
  if (waiting_.empty() || (revision == revision_ && now < next_deadline_)) {
    return;
  }
  revision_ = revision;
  next_deadline_ = Instant::max();
  std::size_t undecided = 0;
  std::vector<Waiting> still_waiting;
  for (auto& waiting : std::exchange(waiting_, {})) {
    const bool is_decided = is_held(node, waiting.said);
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
  std::move(waiting_.begin(), waiting_.end(), std::back_inserter(still_waiting));
  waiting_ = std::move(still_waiting);
}

void ForwardedCalls::follow_leader(const std::optional<Endpoint>& leader) {
  if (leader == leader_) {
    return;
  }
  leader_ = leader;
  unsent_ = {};
  for (const auto& waiting : std::exchange(waiting_, {})) {
    waiting.decide_again();
  }
}

}  // namespace gorsevalve
