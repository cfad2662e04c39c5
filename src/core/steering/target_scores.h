/// What one balancer sees of the targets in the packets that pass it: open flows, requests under
/// way, how long answers take, opening packets without an answer. Only packets from callers pass,
/// so answers show in what callers acknowledge. Nothing here is needed for a flow's survival.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

struct TargetScore {
  std::uint32_t open_flows = 0;
  /// Flows with a request that is not answered yet.
  std::uint32_t busy_flows = 0;
  /// Opening packets in a row that were not followed by anything.
  std::uint32_t unanswered = 0;
  /// No new flows before this instant, while there is another target.
  Instant suspected_until;
  /// Smoothed time from a request to the caller's first acknowledgement after it, in microseconds;
  /// 0 without a sample.
  double answer_us = 0;
  Instant answer_at;
  /// Slow until then, as the target said.
  Instant warm_at;
};

class TargetScores {
 public:
  /// Drops what is known of targets that are gone, and notes the warm-up of new ones.
  void adopt(const std::vector<RegisteredTarget>& targets, Instant now);

  [[nodiscard]] TargetScore& at(TargetId id) { return scores_[id]; }
  [[nodiscard]] const TargetScore* find(TargetId id) const;

  void on_opened(TargetId id);
  /// An opening packet had to be repeated.
  void on_unanswered(TargetId id, Instant now);
  void on_answer(TargetId id, Duration took, Instant now);

  [[nodiscard]] bool is_suspected(TargetId id, Instant now) const;
  /// Load for comparison within a pool, lower is better. `typical_us` is the pool's usual answer
  /// time, 0 when unknown.
  [[nodiscard]] double load(const RegisteredTarget& target, double typical_us, Instant now) const;
  /// Answer time when it is recent enough to be believed, in microseconds; else 0.
  [[nodiscard]] double recent_answer_us(TargetId id, Instant now) const;

 private:
  absl::flat_hash_map<TargetId, TargetScore> scores_;
};

}  // namespace gorsevalve
