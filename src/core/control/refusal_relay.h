/// Passes on at once which targets refused probes of balancers: from a balancer to its replica,
/// from there to all replicas, and from each to the balancers that it serves. Needs no leader. The
/// figures of all balancers tell more, and later. A state machine without sockets or clocks.
///
/// Answers the load of many targets that end at one moment. What is sent grows with the targets
/// that refuse, not with the balancers that say so: what was passed on lately is not passed on
/// again, and what comes together goes together.
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
  /// What a balancer in a zone, which this replica serves, saw of targets.
  void on_observations(const Endpoint& balancer, const std::string& zone,
                       const std::vector<TargetObservation>& observations, Instant now);
  /// What another replica passed on.
  void on_relayed(const RefusingTargets& told, Instant now);

  /// What is to be passed on now.
  struct Outgoing {
    /// To the other replicas.
    std::vector<RefusingTargets> to_replicas;
    /// To the balancers that this replica serves.
    std::vector<RefusingTargets> to_balancers;
  };
  /// Gives nothing before the pause after the last time is over.
  [[nodiscard]] Outgoing take_outgoing(Instant now);

  /// Pause between two messages, of which the first goes at once.
  static constexpr Duration kSendInterval = std::chrono::milliseconds(20);
  /// What was passed on is not passed on again within this time, less than balancers go by it.
  static constexpr Duration kSuppressionTime = std::chrono::milliseconds(200);
  /// Targets that one balancer may name within `kReportWindow`: it may be wrong about all of them.
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

  /// True when the balancer has named fewer targets lately than it may.
  bool allows_report(const Endpoint& balancer, Instant now);
  /// Notes that something is passed on; false when it was, lately.
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
