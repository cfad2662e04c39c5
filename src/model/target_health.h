/// Target health exchanged between balancers and control replicas: observations of single balancers
/// and their aggregate. Used to place new flows, and to learn which targets were replaced;
/// correctness depends on the latter only.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/steering.h"

namespace gorsevalve {

/// Observations of one target by one balancer since its last report.
struct TargetStatistics {
  FlowToken token = 0;
  /// Requests sent to the target.
  std::uint32_t requests = 0;
  /// Requests without a response within the expected time.
  std::uint32_t stalled_requests = 0;
  /// Flows placed at the target.
  std::uint32_t new_flows = 0;
  /// New flows without any later packet, not even a retransmission; the target reset them.
  std::uint32_t refused_flows = 0;
  /// New flows whose opening packet was retransmitted.
  std::uint32_t retransmitted_flows = 0;
  /// Number of times that the balancer's probes found the target unreachable.
  std::uint32_t unreachable = 0;
  /// Probes that the target refused because it accepts no flows at the moment.
  std::uint32_t refused_probes = 0;
  /// Start of the incarnation that is gone, because another target at its address answered the
  /// balancer; nullopt if none did.
  std::optional<TargetStart> replaced{};

  friend bool operator==(const TargetStatistics&, const TargetStatistics&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& token& requests& stalled_requests& new_flows& refused_flows& retransmitted_flows&
        unreachable& refused_probes& replaced;
  }
};

/// Recent health of a target as observed by all balancers. Targets without an entry are healthy and
/// have an average load.
struct TargetHealth {
  /// Load of a target that receives its share of the pool's requests, in percent.
  static constexpr std::uint8_t kMeanLoadPercent = 100;

  FlowToken token = 0;
  /// Requests relative to the mean of the pool, in percent.
  std::uint8_t load_percent = kMeanLoadPercent;
  /// The target refuses flows, or does not respond to opening packets or requests.
  bool is_unhealthy = false;
  /// A balancer cannot reach the target; balancers with open flows to it should probe it
  /// themselves.
  bool is_unreachable = false;

  friend bool operator==(const TargetHealth&, const TargetHealth&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& token& load_percent& is_unhealthy& is_unreachable;
  }
};

/// One version of the target health. Versions are compared for equality only; 0 means none.
struct TargetHealthUpdate {
  std::uint64_t version = 0;
  std::vector<TargetHealth> targets;

  /// Tokens of the unhealthy targets, in ascending order.
  [[nodiscard]] std::vector<FlowToken> unhealthy() const;
  /// Tokens of the targets that some balancer cannot reach, in ascending order.
  [[nodiscard]] std::vector<FlowToken> unreachable() const;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& version& targets;
  }
};

/// Targets that recently refused probes of balancers in one zone. If a network path fails, a device
/// on the path may refuse in place of the target. Therefore the report counts for balancers of that
/// zone, and for all others only if the zone is the target's own.
struct RefusingTargets {
  std::string zone;
  std::vector<FlowToken> targets;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& targets;
  }
};

}  // namespace gorsevalve
