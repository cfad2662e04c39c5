/// Figures about targets that balancers and control replicas exchange: what a balancer saw, and
/// what all of them saw together. They steer new flows only; nothing that must survive depends on
/// them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/steering.h"

namespace gorsevalve {

/// What one balancer saw of a target since its last report.
struct TargetObservation {
  FlowToken token = 0;
  /// Requests that went to the target.
  std::uint32_t requests = 0;
  /// Of those, the ones without an answer for a time that answers should not take.
  std::uint32_t stalled_requests = 0;
  /// Flows that were placed at the target.
  std::uint32_t new_flows = 0;
  /// Of those, the ones that nothing followed, not even a copy: the target reset them.
  std::uint32_t refused_flows = 0;
  /// Of those, the ones of which copies were sent.
  std::uint32_t unanswered_flows = 0;
  /// How often the balancer concluded from probes that it cannot reach the target.
  std::uint32_t unreachable = 0;
  /// Probes that the target refused: it takes no flow just now.
  std::uint32_t refused_probes = 0;

  friend bool operator==(const TargetObservation&, const TargetObservation&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& token& requests& stalled_requests& new_flows& refused_flows& unanswered_flows&
        unreachable& refused_probes;
  }
};

/// What all balancers saw of a target lately. Targets without a figure are as usual.
struct TargetHealth {
  /// Pressure of a target that gets its share of the pool's requests, in percent.
  static constexpr std::uint8_t kMeanLoadPercent = 100;

  FlowToken token = 0;
  /// Requests compared with the mean of the pool, in percent.
  std::uint8_t load_percent = kMeanLoadPercent;
  /// It refuses flows, leaves opening packets or requests unanswered.
  bool is_unhealthy = false;
  /// A balancer could not reach it: those with open flows there should look for themselves.
  bool is_unreachable = false;

  friend bool operator==(const TargetHealth&, const TargetHealth&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& token& load_percent& is_unhealthy& is_unreachable;
  }
};

/// One edition of the figures, told apart by its number; 0 is none.
struct TargetHealthUpdate {
  std::uint64_t version = 0;
  std::vector<TargetHealth> targets;

  /// Tokens of the targets in trouble, in order.
  [[nodiscard]] std::vector<FlowToken> unhealthy() const;
  /// Tokens of the targets that some balancer could not reach, in order.
  [[nodiscard]] std::vector<FlowToken> unreachable() const;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& version& targets;
  }
};

/// Targets that refused probes of balancers in one zone just now. Where paths are cut, something on
/// the way may refuse in a target's place, so it counts for balancers in that zone, and for all
/// where it is the target's own.
struct RefusingTargets {
  std::string zone;
  std::vector<FlowToken> targets;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& targets;
  }
};

}  // namespace gorsevalve
