/// Detects targets that currently refuse connections. An opening packet (SYN) without a reply in
/// the expected handshake time leads to one probe of its target. A refusal shows within a round
/// trip that the target takes no new flow, because nothing listens there or it is full. Client
/// retransmissions show later which of the two it is; until then new flows go elsewhere and open
/// flows are left alone. It is deterministic, does no I/O and reads no clock.
///
/// This matters when many targets end at the same time: a refused client retries within
/// milliseconds, usually at another balancer, and could spend all of its attempts on ended targets.
/// Balancers therefore report refusals to each other (core/control/refusal_relay).
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
  /// A handshake with the target is past its expected time: probes the target, unless that was done
  /// recently.
  void on_overdue(TargetId target, Instant now);
  /// Another balancer, whose reports apply here, was refused.
  void on_remote_refusal(TargetId target, Instant now);
  /// The target replied to an opening packet (SYN) that was sent to it at `sent_at`.
  void on_established(TargetId target, Instant sent_at);
  void remove(TargetId target);

  /// Probes to send now. Call it every `TargetReachability::kStepInterval` while `is_probing`.
  /// Their numbers are above `kProbeNumberBase` and not above `ZonePaths::kProbeNumberBase`.
  [[nodiscard]] std::vector<ProbeRequest> take_probes(Instant now);
  void on_answer(std::uint64_t probe, ProbeAnswer answer, Instant now);
  void on_not_sent(std::uint64_t probe);
  /// Targets that refused probes of this balancer since the last call, in the order of the answers.
  [[nodiscard]] std::vector<TargetId> take_refused();

  /// True when new flows should go elsewhere.
  [[nodiscard]] bool is_refusing(TargetId target, Instant now) const {
    // Fast path: this is called for each candidate target, and usually none refuses.
    return !refusing_.empty() && is_marked_refusing(target, now);
  }
  /// True while a probe is to be sent or may be answered.
  [[nodiscard]] bool is_probing() const { return !probed_targets_.empty(); }

  static constexpr std::uint64_t kProbeNumberBase = std::uint64_t{1} << 62U;
  /// How long a refusal counts: until client retransmissions show whether the target is full or
  /// gone, and the reported target health covers targets that are gone.
  static constexpr Duration kRefusalLifetime = std::chrono::milliseconds(500);
  /// Upper bound of targets that are probed at the same time; others wait for their next
  /// overdue handshake.
  static constexpr std::size_t kMaxProbedTargets = 64;

 private:
  /// A target that is being probed.
  struct ProbedTarget {
    /// Number of the unanswered probe; 0 while none is in flight.
    std::uint64_t probe = 0;
    Instant probe_at;
    std::uint32_t refusals = 0;
  };
  struct Refusing {
    Instant since;
    Instant until;
  };

  [[nodiscard]] bool is_marked_refusing(TargetId target, Instant now) const;
  /// True when a target needs no more probes.
  [[nodiscard]] static bool is_over(const ProbedTarget& probed, Instant now);
  void mark_refusing(TargetId target, Instant now);

  std::uint64_t last_probe_ = kProbeNumberBase;
  /// Ordered, so that the order of probes is deterministic.
  std::map<TargetId, ProbedTarget> probed_targets_;
  absl::flat_hash_map<std::uint64_t, TargetId> sent_;
  absl::flat_hash_map<TargetId, Refusing> refusing_;
  /// Targets that accepted a probe, with the end of the time during which they are not probed
  /// again.
  absl::flat_hash_map<TargetId, Instant> cleared_until_;
  std::vector<TargetId> refused_;
};

}  // namespace gorsevalve
