/// State shared by the components of the balancer core. Owned by Balancer; used by one thread.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <memory>
#include <queue>

#include "core/balancer/fleet_view.h"
#include "core/balancer/output.h"
#include "core/balancer/partition_table.h"
#include "core/balancer/target_table.h"
#include "model/fleet.h"
#include "model/verdict.h"

namespace gorsevalve {

/// Counters since the start of the process. The names match the exported metrics.
struct BalancerCounters {
  std::uint64_t datagrams_in = 0;
  std::uint64_t datagrams_malformed = 0;
  std::uint64_t datagrams_unknown_service = 0;
  std::uint64_t datagrams_relayed = 0;
  std::uint64_t datagrams_without_owner = 0;
  std::uint64_t datagrams_hop_limit = 0;
  std::uint64_t datagrams_held = 0;
  std::uint64_t datagrams_after_pause = 0;
  std::uint64_t requests = 0;
  std::uint64_t requests_dispatched = 0;
  std::uint64_t requests_duplicate = 0;
  std::uint64_t requests_retried = 0;
  std::uint64_t requests_resent = 0;
  std::uint64_t answers = 0;
  std::uint64_t answers_unmatched = 0;
  std::uint64_t verdicts_not_run = 0;
  std::uint64_t verdicts_may_have_run = 0;
  std::uint64_t flows_placed = 0;
  std::uint64_t flows_second_choice = 0;
  std::uint64_t feeds_moved = 0;
  std::uint64_t feeds_relearned = 0;
  std::uint64_t partitions_taken_over = 0;
  std::uint64_t partitions_incomplete = 0;
  std::uint64_t partitions_superseded = 0;
  std::uint64_t dispatches_blocked = 0;
  /// Number of verdicts, indexed by FailureReason.
  std::array<std::uint64_t, kFailureReasonCount> given_up{};
};

/// Injected faults, for the tests that verify that the checkers detect violations. Programs leave
/// all of them off.
struct BalancerFaults {
  bool skip_lease_check = false;
  bool skip_record_before_dispatch = false;
  bool skip_incomplete_check = false;
  bool ignore_fence = false;
  bool drop_state_on_handover = false;
};

struct BalancerConfig {
  Member self;
  BalancerFaults faults;
};

/// Deadline of one request. The entry is stale when the record has another deadline.
struct DeadlineEntry {
  Instant at;
  PartitionId partition = 0;
  RequestId id;

  friend bool operator>(const DeadlineEntry& a, const DeadlineEntry& b) { return a.at > b.at; }
};

/// Limits retries to a fraction of the requests, so that retries cannot amplify an overload.
class RetryBudget {
 public:
  void on_request() { tokens_ = std::min(tokens_ + kPerRequest, kMaximum); }
  /// Consumes one retry from the budget. Returns false when the budget is exhausted.
  bool take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kPerRequest = 0.1;
  static constexpr double kMaximum = 20;
  double tokens_ = kMaximum;
};

class BalancerState {
 public:
  BalancerState(BalancerConfig config, BalancerOutput& output)
      : config_(std::move(config)), output_(output) {}

  [[nodiscard]] const BalancerConfig& config() const { return config_; }
  [[nodiscard]] const BalancerFaults& faults() const { return config_.faults; }
  [[nodiscard]] const Endpoint& self() const { return config_.self.address; }
  BalancerOutput& output() { return output_; }
  BalancerCounters& counters() { return counters_; }
  TargetTable& target_table() { return target_table_; }
  RetryBudget& retry_budget() { return retry_budget_; }

  /// The current view; nullptr before the first revision arrives.
  [[nodiscard]] const std::shared_ptr<const FleetView>& view() const { return view_; }
  void set_view(std::shared_ptr<const FleetView> view) { view_ = std::move(view); }

  PartitionTable& partitions() { return partitions_; }
  [[nodiscard]] const PartitionTable& partitions() const { return partitions_; }

  RequestId next_request_id() { return {config_.self.incarnation, ++last_sequence_}; }

  /// Sets the deadline of a record and schedules its expiry.
  void set_deadline(PartitionId partition, RequestRecord& record, Instant at) {
    record.deadline = at;
    deadlines_.push({at, partition, record.id});
  }
  auto& deadlines() { return deadlines_; }

  [[nodiscard]] Instant lease_until() const { return lease_until_; }
  void set_lease_until(Instant until) { lease_until_ = until; }

  /// Fraction of the partitions that this balancer owns under the current view.
  [[nodiscard]] double owned_share() const { return owned_share_; }
  void set_owned_share(double share) { owned_share_ = share; }

 private:
  BalancerConfig config_;
  BalancerOutput& output_;
  BalancerCounters counters_;
  TargetTable target_table_;
  RetryBudget retry_budget_;
  std::shared_ptr<const FleetView> view_;
  RequestPool pool_;
  PartitionTable partitions_{pool_};
  std::priority_queue<DeadlineEntry, std::vector<DeadlineEntry>, std::greater<>> deadlines_;
  std::uint64_t last_sequence_ = 0;
  Instant lease_until_;
  double owned_share_ = 0;
};

}  // namespace gorsevalve
