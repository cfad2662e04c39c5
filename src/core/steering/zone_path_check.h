/// One look at a zone: rounds of probes of several of its targets, beside targets that are known to
/// answer. Says what to probe, and whether silence of all of them proves anything.
#pragma once

#include <cstdint>
#include <vector>

#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

class ZonePathCheck {
 public:
  /// Targets of a zone that are probed at most: where half of a zone's targets are dark, all of
  /// these are once in 65,000 looks. With six, a quarter that went dark at once was taken for a cut
  /// by one of 70 balancers.
  static constexpr std::size_t kMaxSamples = 16;
  /// With fewer targets than this, single targets are judged, not their zone.
  static constexpr std::size_t kMinSamples = 2;
  /// Targets of the own zone that are probed beside.
  static constexpr std::size_t kReferences = 2;

  /// What is to be probed now, in this order.
  struct ProbeRound {
    std::vector<TargetId> samples;
    std::vector<TargetId> references;
  };

  /// `samples` are those of the zone, the suspected one first. `sent_at`: when that was sent
  /// which is not answered.
  ZonePathCheck(std::vector<TargetId> witnesses, std::vector<TargetId> references, Instant sent_at,
                Instant now);
  /// A deliberate fault: silence counts whatever the references say.
  void ignore_references() { needs_references_ = false; }

  /// To be called each `TargetReachability::kStepInterval`.
  [[nodiscard]] ProbeRound next_round(Instant now);
  void on_refusal() { ++refusals_; }
  void on_reference_answer(Duration took);

  /// True when the silence of the zone is proven.
  [[nodiscard]] bool is_silence_proven(Instant now) const;
  /// True when nothing can be learned from it any more.
  [[nodiscard]] bool is_inconclusive(Instant now) const;
  /// True from the moment at which silence makes a cut likely.
  [[nodiscard]] bool is_last_round() const { return rounds_ >= kRounds; }

  [[nodiscard]] Instant sent_at() const { return sent_at_; }
  [[nodiscard]] Instant since() const { return since_; }
  /// Changes when the look begins again: answers to earlier probes do not count then.
  [[nodiscard]] std::uint32_t attempt() const { return attempt_; }
  [[nodiscard]] const std::vector<TargetId>& samples() const { return samples_; }
  [[nodiscard]] std::uint32_t probes() const { return probes_; }
  [[nodiscard]] std::uint32_t refusals() const { return refusals_; }

 private:
  [[nodiscard]] bool may_continue() const;

  /// Where one packet in ten is lost each way, the 15 probes of six targets are lost once in 1e10
  /// times, and the 6 of two targets once in 20,000, which costs idle flows there.
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
  /// How long the slowest reference took.
  Duration max_reference_rtt_{0};
};

}  // namespace gorsevalve
