/// Relays the tokens of targets that refused probes: from a balancer to its replica, from there to
/// all replicas, and from each replica to the balancers that it serves. Works without a leader and
/// is faster than the target health updates. Deterministic; does no I/O and reads no clock.
///
/// Bounds the load when many targets end at once: a recently relayed target is not relayed again,
/// and messages are batched, so the load grows with the number of refusing targets and not with the
/// number of balancers that report them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model/endpoint.h"
#include "model/target_health.h"
#include "model/time.h"

namespace gorsevalve {

class RefusalRelay {
 public:
  /// Handles the observations of a balancer that this replica serves.
  void on_observations(const Endpoint& balancer, const std::string& zone,
                       const std::vector<TargetStatistics>& observations, Instant now);
  /// Handles targets relayed by another replica.
  void on_relayed(const RefusingTargets& relayed, Instant now);

  /// Messages that are ready to be sent.
  struct Outgoing {
    /// Messages to the other replicas.
    std::vector<RefusingTargets> to_replicas;
    /// Messages to the balancers that this replica serves.
    std::vector<RefusingTargets> to_balancers;
  };
  /// Returns the pending messages; empty until `kSendInterval` has passed since the last send.
  [[nodiscard]] Outgoing take_outgoing(Instant now);

  /// Minimum interval between two sends; the first one is immediate.
  static constexpr Duration kSendInterval = std::chrono::milliseconds(20);
  /// A relayed target is not relayed again within this time. Shorter than the time for which
  /// balancers avoid the target.
  static constexpr Duration kSuppressionTime = std::chrono::milliseconds(200);
  /// Targets that one balancer may report within `kReportWindow`; limits the effect of a balancer
  /// that reports healthy targets.
  static constexpr std::uint32_t kMaxReportedTargets = 32;
  static constexpr Duration kReportWindow = std::chrono::seconds(1);
  /// Targets in one message.
  static constexpr std::size_t kMaxTargets = 256;

 private:
  using Pending = std::map<std::string, std::set<FlowToken>>;

  struct ReportWindow {
    Instant started_at;
    std::uint32_t count = 0;
  };

  /// Counts a report; returns false if the balancer exceeded its limit in the current window.
  bool allows_report(const Endpoint& balancer, Instant now);
  /// Marks a target as relayed; returns false if it was relayed recently.
  bool mark_relayed(const std::string& zone, FlowToken token, Instant now);
  void drop_expired(Instant now);
  static std::vector<RefusingTargets> take_messages(Pending& pending);

  Pending for_replicas_;
  Pending for_balancers_;
  std::map<std::pair<std::string, FlowToken>, Instant> relayed_at_;
  std::map<Endpoint, ReportWindow> report_windows_;
  Instant sent_at_;
};

}  // namespace gorsevalve
