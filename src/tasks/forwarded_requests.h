/// Requests of targets that a follower has forwarded to the leader. Each one is completed once the
/// committed state of this replica includes its change. Forwarding spares the leader a connection
/// per target.
#pragma once

#include <functional>
#include <variant>
#include <vector>

#include "core/control/control_node.h"
#include "tasks/pending_proposals.h"

namespace gorsevalve {

class ForwardedRequests {
 public:
  /// An announcement of a target, or the end of one of its incarnations.
  using ForwardedChange = std::variant<RegisteredTarget, TargetIncarnation>;

  /// Limit of pending requests; beyond it, targets are redirected to the leader.
  static constexpr std::size_t kMaxPending = 4096;

  [[nodiscard]] bool is_full() const { return pending_.size() >= kMaxPending; }
  /// Adds a request. `retry` handles it again if the leader changes.
  void add(ForwardedChange change, CommandCallback callback, std::function<void()> retry,
           Instant deadline);
  /// Changes added since the last call, to be sent to the leader.
  [[nodiscard]] ForwardedRegistrations take_unsent();
  /// Completes requests whose change is committed, and those past their deadline as unknown.
  void complete(const ControlNode& node, Instant now);
  /// Sets the leader. If it changed, messages to the previous one may be lost, so all pending
  /// requests are handled again.
  void set_leader(const std::optional<Endpoint>& leader);

 private:
  struct PendingRequest {
    ForwardedChange change;
    CommandCallback callback;
    std::function<void()> retry;
    Instant deadline;
  };

  std::vector<PendingRequest> pending_;
  ForwardedRegistrations unsent_;
  std::optional<Endpoint> leader_;
  /// Committed revision at the last check of pending requests.
  Revision revision_ = 0;
  /// Earliest deadline of a pending request.
  Instant next_deadline_ = Instant::max();
};

}  // namespace gorsevalve
