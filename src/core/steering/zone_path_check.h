/// One check of the path to a zone: rounds of probes of several of its targets and, next to them,
/// of reference targets that are known to answer. Decides what to probe and whether the silence of
/// all sampled targets proves that the path is unreachable.
#pragma once

#include <cstdint>
#include <vector>

#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

class ZonePathCheck {
 public:
  /// Maximum number of sampled targets. If half of the targets of a zone are down, all samples are
  /// down in only one of 65,000 checks. With six samples, one of 70 balancers mistakes the failure
  /// of a quarter of the targets for a cut.
  static constexpr std::size_t kMaxSamples = 16;
  /// With fewer targets, only single targets are evaluated, not their zone.
  static constexpr std::size_t kMinSamples = 2;
  /// Reference targets of the local zone.
  static constexpr std::size_t kReferences = 2;

  /// The targets to probe now, in this order.
  struct ProbeRound {
    std::vector<TargetId> samples;
    std::vector<TargetId> references;
  };

  /// `sampled` are targets of the zone, the suspected one first. `sent_at` is the send time of the
  /// unanswered packet.
  ZonePathCheck(std::vector<TargetId> sampled, std::vector<TargetId> references, Instant sent_at,
                Instant now);
  /// Injected fault: silence counts regardless of the reference targets.
  void ignore_references() { needs_references_ = false; }

  /// Call it every `TargetReachability::kStepInterval`.
  [[nodiscard]] ProbeRound next_round(Instant now);
  void on_refusal() { ++refusals_; }
  void on_reference_answer(Duration took);

  /// True when all samples were silent or refused and enough reference targets answered.
  [[nodiscard]] bool is_silence_proven(Instant now) const;
  /// True when the check can no longer lead to a decision.
  [[nodiscard]] bool is_inconclusive(Instant now) const;
  /// True once the last round was sent, when an unreachable path is likely.
  [[nodiscard]] bool is_last_round() const { return rounds_ >= kRounds; }

  [[nodiscard]] Instant sent_at() const { return sent_at_; }
  [[nodiscard]] Instant since() const { return since_; }
  /// Incremented when the check restarts; answers to earlier probes do not count then.
  [[nodiscard]] std::uint32_t attempt() const { return attempt_; }
  [[nodiscard]] const std::vector<TargetId>& samples() const { return samples_; }
  [[nodiscard]] std::uint32_t probes() const { return probes_; }
  [[nodiscard]] std::uint32_t refusals() const { return refusals_; }

 private:
  [[nodiscard]] bool may_continue() const;

  /// With 10% packet loss in each direction, all probes of six samples are lost once in 1e10 checks
  /// and those of two samples once in 20,000, which costs idle flows there.
  static constexpr std::uint32_t kRounds = 3;

  std::vector<TargetId> samples_;
  std::vector<TargetId> references_;
  Instant sent_at_;
  Instant since_;
  Instant probed_at_;
  Instant stepped_at_;
  bool needs_references_ = true;
  std::uint32_t attempt_ = 0;
  std::uint32_t rounds_ = 0;
  std::uint32_t probes_ = 0;
  std::uint32_t refusals_ = 0;
  std::uint32_t reference_probes_ = 0;
  std::uint32_t reference_answers_ = 0;
  /// Round-trip time of the slowest reference target.
  Duration max_reference_rtt_{0};
};

}  // namespace gorsevalve
