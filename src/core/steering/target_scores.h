/// Tracks the load and the health of targets as one balancer observes them in client packets: open
/// flows, requests in flight, response times and unanswered opening packets (SYN). Only packets
/// from clients pass through the balancer, so responses are inferred from the clients'
/// acknowledgements. Flows survive without this state.
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
  /// Flows with a request that has no response yet.
  std::uint32_t busy_flows = 0;
  /// Consecutive opening packets (SYN) that no other packet of the flow followed.
  std::uint32_t unanswered = 0;
  /// No new flows before this instant unless there is no other target.
  Instant suspected_until;
  /// Smoothed time from a request to the first client acknowledgement after it, in microseconds; 0
  /// without a sample.
  double response_us = 0;
  Instant responded_at;
  /// End of the warm-up that the target announced.
  Instant warm_at;
  /// Sequence number of the announcement that set `warm_at`.
  std::uint64_t announcement_sequence = 0;
  Endpoint address;
  /// When this balancer learned that the target is at the address.
  Instant at_address_since;
  /// The incarnation of the target that this entry describes.
  TargetStart started_at_ms = 0;
  /// Observations of this balancer since its last report.
  TargetStatistics unreported;
  /// Health aggregated over the reports of all balancers.
  TargetHealth health;
};

class TargetScores {
 public:
  /// `zone` is the balancer's zone; if empty, no target counts as local.
  TargetScores(std::string zone, const SteeringPolicy& policy)
      : zone_(std::move(zone)), policy_(policy) {}

  /// Removes entries of targets that are not in `targets` and records the warm-up of new targets.
  void adopt(const TargetMap& targets, Instant now);
  void on_target(const RegisteredTarget& target, Instant now);
  /// True when the entry describes another incarnation of the target.
  [[nodiscard]] bool is_other_incarnation(const RegisteredTarget& target) const;
  void on_removed(TargetId id);

  [[nodiscard]] TargetScore& at(TargetId id) { return scores_[id]; }
  [[nodiscard]] const TargetScore* find(TargetId id) const;

  /// A new flow was placed at the target.
  void on_placed(TargetId id);
  /// Another packet of the client followed an opening packet (SYN).
  void on_established(TargetId id);
  /// A client retransmitted an opening packet (SYN).
  void on_unanswered_syn(TargetId id, Instant now);
  /// The target refused a flow of a client.
  void on_refused(TargetId id, Instant now);
  /// The target refused a probe.
  void on_refused_probe(TargetId id);
  /// Probes showed that this balancer cannot reach the target.
  void on_unreachable(TargetId id, Instant now);
  /// A flow opened at another target of the target's address.
  void on_replaced(TargetId id);
  void on_request(TargetId id);
  /// A request got no response within the expected response time.
  void on_stalled_request(TargetId id);
  void on_response(TargetId id, Duration took, Instant now);

  /// Observations since the last call, ordered by token.
  [[nodiscard]] std::vector<TargetStatistics> take_observations();
  [[nodiscard]] bool has_failures() const { return has_failures_; }
  /// True when a target refused a probe since the last call of `take_observations`.
  [[nodiscard]] bool has_refused_probe() const { return has_refused_probe_; }
  /// Replaces the aggregated health of all targets. Returns the targets that some balancer newly
  /// reports as unreachable.
  std::vector<TargetId> set_target_health(const std::vector<TargetHealth>& reported_health);
  [[nodiscard]] bool has_target_health() const { return has_target_health_; }

  /// Removes expired response times. Call it about once per second.
  void on_tick(Instant now);
  /// Calls `visit` with each target that responded to a request recently, in no particular order,
  /// and its smoothed response time in microseconds. The cost depends on the targets in use here,
  /// not on the size of the fleet.
  template <typename Visitor>
  void visit_responsive(Instant now, const Visitor& visit) const {
    for (const TargetId id : answered_) {
      if (const double answer_us = recent_response_us(id, now); answer_us > 0) {
        visit(id, answer_us);
      }
    }
  }
  /// Healthy targets that responded to requests recently, the latest first; at most `count`,
  /// never `except`.
  [[nodiscard]] std::vector<TargetId> latest_responsive(std::size_t count, TargetId except,
                                                        Instant now) const;
  /// True when this balancer suspects the target or its aggregated health is bad.
  [[nodiscard]] bool is_suspected(TargetId id, Instant now) const;
  /// Load for comparison within a pool; lower is better. `typical_us` is the pool's usual response
  /// time in microseconds, 0 when unknown.
  [[nodiscard]] double load(const RegisteredTarget& target, double typical_us, Instant now) const;
  /// Relative weight of the target among targets of the same load.
  [[nodiscard]] double preference(const RegisteredTarget& target) const;
  /// Smoothed response time in microseconds, or 0 when there is no recent sample.
  [[nodiscard]] double recent_response_us(TargetId id, Instant now) const;

 private:
  /// The observations of the target for the next report; marks the target as to be reported.
  TargetStatistics& unreported(TargetId id);

  std::string zone_;
  SteeringPolicy policy_;
  absl::flat_hash_map<TargetId, TargetScore> scores_;
  /// Expected number of targets in use at a time. Memory for them is reserved, so that processing
  /// packets allocates nothing (9 bytes per target).
  static constexpr std::size_t kExpectedTargetsInUse = 1024;

  /// Targets whose latest response time has not expired, or expired after the last tick.
  absl::flat_hash_set<TargetId> answered_;
  /// Targets with observations to report.
  absl::flat_hash_set<TargetId> to_report_;
  /// Targets with aggregated health.
  std::vector<TargetId> targets_with_health_;
  absl::flat_hash_map<FlowToken, TargetId> by_token_;
  bool has_failures_ = false;
  bool has_refused_probe_ = false;
  bool has_target_health_ = false;
};

}  // namespace gorsevalve
