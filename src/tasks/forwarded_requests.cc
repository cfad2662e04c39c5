#include "tasks/forwarded_requests.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "tasks/log.h"

namespace gorsevalve {
namespace {

bool is_committed(const ControlNode& node, const ForwardedRequests::ForwardedChange& change) {
  return std::visit([&node](const auto& update) { return node.is_committed(update); }, change);
}

}  // namespace

void ForwardedRequests::add(ForwardedChange change, CommandCallback callback,
                            std::function<void()> retry, Instant deadline) {
  if (const auto* announced = std::get_if<RegisteredTarget>(&change)) {
    unsent_.announced.push_back(*announced);
  } else {
    unsent_.ended.push_back(std::get<TargetIncarnation>(change));
  }
  pending_.push_back({std::move(change), std::move(callback), std::move(retry), deadline});
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
  std::size_t timed_out = 0;
  std::vector<PendingRequest> still_pending;
  for (auto& request : std::exchange(pending_, {})) {
    const bool is_done = is_committed(node, request.change);
    if (is_done || now >= request.deadline) {
      timed_out += is_done ? 0 : 1;
      request.callback({is_done ? CommandStatus::kAcknowledged : CommandStatus::kUnknown, {}});
      continue;
    }
    next_deadline_ = std::min(next_deadline_, request.deadline);
    still_pending.push_back(std::move(request));
  }
  if (timed_out > 0) {
    log_event(LogEvent::kForwardedUndecided, {{"calls", timed_out}, {"revision", revision}});
  }
  // Callbacks may have added requests.
  std::move(pending_.begin(), pending_.end(), std::back_inserter(still_pending));
  pending_ = std::move(still_pending);
}

void ForwardedRequests::set_leader(const std::optional<Endpoint>& leader) {
  if (leader == leader_) {
    return;
  }
  leader_ = leader;
  unsent_ = {};
  for (const auto& request : std::exchange(pending_, {})) {
    request.retry();
  }
}

}  // namespace gorsevalve
