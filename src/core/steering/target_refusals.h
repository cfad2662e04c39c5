/// Targets that refuse connections just now. An opening that nothing followed in the usual time
/// leads to one probe of its target. A refusal tells within a round trip that the target takes no
/// flow, since nothing listens there or it is full; which of the two, callers' copies show later,
/// and open flows are left alone. Until then new flows go elsewhere. A state machine without
/// sockets or clocks.
///
/// Answers the load of many targets that end at one moment: a caller that is refused tries again
/// within milliseconds, mostly at another balancer, and would spend all of its tries on targets
/// that have ended, too. So balancers tell each other (core/control/refusal_relay).
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <vector>

#include "core/steering/target_reachability.h"
#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

class TargetRefusals {
 public:
  /// Something at the target is overdue: it is probed, unless that was done just before.
  void on_overdue(TargetId target, Instant now);
  /// A balancer whose word counts here was refused.
  void on_remote_refusal(TargetId target, Instant now);
  /// The target answered an opening packet that was sent to it at `sent_at`.
  void on_established(TargetId target, Instant sent_at);
  void forget(TargetId target);

  /// Probes to send now. To be called each `TargetReachability::kStepInterval` while `is_probing`.
  /// Their numbers are above `kProbeNumberBase` and not above `ZonePaths::kProbeNumberBase`.
  [[nodiscard]] std::vector<ProbeRequest> take_probes(Instant now);
  void on_answer(std::uint64_t probe, ProbeAnswer answer, Instant now);
  void on_not_sent(std::uint64_t probe);
  /// Targets that refused probes of this balancer since the last call, in the order of the answers.
  [[nodiscard]] std::vector<TargetId> take_refused();

  /// True when new flows should go elsewhere.
  [[nodiscard]] bool is_refusing(TargetId target, Instant now) const {
    // In the usual case there is nothing to look up: this is asked for each target of a choice.
    return !refusing_.empty() && is_marked_refusing(target, now);
  }
  /// True while a probe is to be sent or may be answered.
  [[nodiscard]] bool is_probing() const { return !probed_targets_.empty(); }

  static constexpr std::uint64_t kProbeNumberBase = std::uint64_t{1} << 62U;
  /// A refusal counts for this long: until callers' copies have told the full from the gone, and
  /// the figures of all balancers have told of the gone.
  static constexpr Duration kRefusalLifetime = std::chrono::milliseconds(500);
  /// Targets that are probed at once; further ones wait for their next sign.
  static constexpr std::size_t kMaxProbedTargets = 64;

 private:
  /// A target that is being probed.
  struct ProbedTarget {
    /// Probe that is awaited; 0 before it was sent.
    std::uint64_t probe = 0;
    Instant probe_at;
    std::uint32_t refusals = 0;
  };
  struct Refusing {
    Instant since;
    Instant until;
  };

  [[nodiscard]] bool is_marked_refusing(TargetId target, Instant now) const;
  /// True when nothing can come of a case any more.
  [[nodiscard]] static bool is_over(const ProbedTarget& probed, Instant now);
  void mark_refusing(TargetId target, Instant now);

  std::uint64_t last_probe_ = kProbeNumberBase;
  /// Ordered, so that what is sent does not depend on the order of a hash map.
  std::map<TargetId, ProbedTarget> probed_targets_;
  absl::flat_hash_map<std::uint64_t, TargetId> sent_;
  absl::flat_hash_map<TargetId, Refusing> refusing_;
  /// Until when targets that took a probe are not probed again.
  absl::flat_hash_map<TargetId, Instant> cleared_until_;
  std::vector<TargetId> refused_;
};

}  // namespace gorsevalve
