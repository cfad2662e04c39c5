/// What one balancer sees of the targets in the packets that pass it: open flows, requests under
/// way, how long answers take, opening packets without an answer. Only packets from callers pass,
/// so answers show in what callers acknowledge. Nothing here is needed for a flow's survival.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/steering/steering_policy.h"
#include "model/steering.h"
#include "model/target_health.h"
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
  /// Sequence of the announcement that said so.
  std::uint64_t announcement_sequence = 0;
  /// The life that all of this was seen of.
  TargetStart started_at_ms = 0;
  /// What was seen here since the last report.
  TargetObservation unreported;
  /// What all balancers saw together.
  TargetHealth health;
};

class TargetScores {
 public:
  /// `zone` is the balancer's; without one, no target is near.
  TargetScores(std::string zone, const SteeringPolicy& policy)
      : zone_(std::move(zone)), policy_(policy) {}

  /// Drops what is known of targets that are gone, and notes the warm-up of new ones.
  void adopt(const TargetMap& targets, Instant now);
  void on_target(const RegisteredTarget& target, Instant now);
  /// True when what is known was seen of another life of the target.
  [[nodiscard]] bool is_other_incarnation(const RegisteredTarget& target) const;
  void on_forgotten(TargetId id);

  [[nodiscard]] TargetScore& at(TargetId id) { return scores_[id]; }
  [[nodiscard]] const TargetScore* find(TargetId id) const;

  /// A flow was placed at the target.
  void on_placed(TargetId id);
  /// Something followed an opening packet.
  void on_established(TargetId id);
  /// An opening packet had to be repeated.
  void on_unanswered_syn(TargetId id, Instant now);
  /// The target told a caller that it takes no flow.
  void on_refused(TargetId id, Instant now);
  /// The target refused a probe.
  void on_refused_probe(TargetId id);
  /// Probes showed that the target cannot be reached from here.
  void on_unreachable(TargetId id, Instant now);
  void on_request(TargetId id);
  /// A request got no answer in the time that answers take.
  void on_stalled_request(TargetId id);
  void on_answer(TargetId id, Duration took, Instant now);

  /// What was seen since the last call.
  [[nodiscard]] std::vector<TargetObservation> take_observations();
  [[nodiscard]] bool has_failures() const { return has_failures_; }
  /// True when a target refused a probe since the last call of `take_observations`.
  [[nodiscard]] bool has_refused_probe() const { return has_refused_probe_; }
  /// Takes figures in place of all earlier ones. Gives the targets that some balancer could not
  /// reach by these figures, and by the earlier ones could.
  std::vector<TargetId> set_target_health(const std::vector<TargetHealth>& figures);
  [[nodiscard]] bool has_target_health() const { return has_target_health_; }

  /// Forgets when targets answered that has grown old; to be called about once a second.
  void on_tick(Instant now);
  /// Calls `visit` with each target that answered a request lately, in no order, and the smoothed
  /// time that its answers take, in microseconds. Costs what passed here, not what the fleet holds.
  template <typename Visitor>
  void visit_answered(Instant now, const Visitor& visit) const {
    for (const TargetId id : answered_) {
      if (const double answer_us = recent_answer_us(id, now); answer_us > 0) {
        visit(id, answer_us);
      }
    }
  }
  /// Targets that answered requests lately and are in no trouble, those with the latest answers
  /// first; `count` at most, never `except`.
  [[nodiscard]] std::vector<TargetId> latest_answered(std::size_t count, TargetId except,
                                                      Instant now) const;
  /// True when this balancer or all together saw it leave openings unanswered lately.
  [[nodiscard]] bool is_suspected(TargetId id, Instant now) const;
  /// Load for comparison within a pool, lower is better. `typical_us` is the pool's usual answer
  /// time, 0 when unknown.
  [[nodiscard]] double load(const RegisteredTarget& target, double typical_us, Instant now) const;
  /// How often a target should win among those of the same load, compared with another one.
  [[nodiscard]] double preference(const RegisteredTarget& target) const;
  /// Answer time when it is recent enough to be believed, in microseconds; else 0.
  [[nodiscard]] double recent_answer_us(TargetId id, Instant now) const;

 private:
  /// What the target shows from now on is to be reported.
  TargetObservation& unreported(TargetId id);

  std::string zone_;
  SteeringPolicy policy_;
  absl::flat_hash_map<TargetId, TargetScore> scores_;
  /// Targets that this balancer uses at a time, as far as memory is laid by for them, so that
  /// packets allocate nothing: 9 octets each.
  static constexpr std::size_t kExpectedActive = 1024;

  /// Targets that answered within about the time in which that is believed.
  absl::flat_hash_set<TargetId> answered_;
  /// Targets that have something to report.
  absl::flat_hash_set<TargetId> to_report_;
  /// Targets that have a figure.
  std::vector<TargetId> targets_with_health_;
  absl::flat_hash_map<FlowToken, TargetId> by_token_;
  bool has_failures_ = false;
  bool has_refused_probe_ = false;
  bool has_target_health_ = false;
};

}  // namespace gorsevalve
