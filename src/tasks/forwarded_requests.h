/// Calls of targets that a follower has passed on to the leader: each is answered once the state
/// that this replica has committed holds what the target said. So targets need not come to the
/// leader, which would otherwise have the connections of most of them: with 10,000 targets and 25
/// replicas the busiest had 6,164 files open at its peak; with forwarding it has 1,701.
#pragma once

#include <functional>
#include <variant>
#include <vector>

#include "core/control/control_node.h"
#include "tasks/pending_proposals.h"

namespace gorsevalve {

class ForwardedRequests {
 public:
  /// What a target said: something of itself, or that a life of it has ended.
  using ForwardedChange = std::variant<RegisteredTarget, TargetIncarnation>;

  /// Calls that wait at most; further ones are sent to the leader.
  static constexpr std::size_t kMaxPending = 4096;

  [[nodiscard]] bool is_full() const { return pending_.size() >= kMaxPending; }
  /// Keeps a call until it is decided; `retry` is what to do with it when the leader
  /// changes.
  void add(ForwardedChange said, SteeringCallback callback, std::function<void()> decide_again,
           Instant deadline);
  /// What has been added since the last call, to be sent to the leader.
  [[nodiscard]] ForwardedRegistrations take_unsent();
  /// Answers calls that the committed state holds by now, and those whose deadline has passed.
  void complete(const ControlNode& node, Instant now);
  /// What was sent to an earlier leader may be lost: calls are decided anew when another one leads.
  void set_leader(const std::optional<Endpoint>& leader);

 private:
  struct PendingRequest {
    ForwardedChange change;
    SteeringCallback callback;
    std::function<void()> retry;
    Instant deadline;
  };

  std::vector<PendingRequest> pending_;
  ForwardedRegistrations unsent_;
  std::optional<Endpoint> leader_;
  /// The revision that the calls were last held against.
  Revision revision_ = 0;
  /// When the first deadline passes.
  Instant next_deadline_ = Instant::max();
};

}  // namespace gorsevalve
