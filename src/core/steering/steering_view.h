/// Index of the applied steering state for the packet path. The cost of a delta depends on its own
/// size, not on the size of the state.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>
#include <absl/types/span.h>

#include <cstdint>
#include <string>
#include <vector>

#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// A pool of a frontend with its weight for new flows.
struct PoolShare {
  std::uint32_t pool = 0;
  std::uint32_t weight = 0;
};

/// A frontend with its pools as indexes into the view.
struct FrontendView {
  Endpoint address;
  std::vector<PoolShare> shares;
  /// How long clients wait for a reply.
  Duration timeout{0};
  /// Target response time for clients.
  Duration latency_objective{0};
  RequestClass request_class = RequestClass::kIdempotent;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Current and former pools, at which flows of this frontend may be.
  absl::flat_hash_set<std::uint32_t> reachable_pools;
};

class SteeringView {
 public:
  /// Replaces the state with a snapshot. Frontends missing from it count as dropped.
  void reset(const SteeringState& state);
  /// Applies a delta. Returns true when the flow rates of targets that are warming up have changed.
  bool apply(const SteeringDelta& delta);

  [[nodiscard]] const FrontendView* frontend(const Endpoint& address) const;
  /// True when the address was a frontend earlier in this process and is none now.
  [[nodiscard]] bool was_dropped(const Endpoint& address) const {
    return dropped_.contains(address);
  }
  /// Returned pointers stay valid until the target is removed or `reset` is called.
  [[nodiscard]] const RegisteredTarget* target(FlowToken token) const;
  [[nodiscard]] const RegisteredTarget* target_by_id(TargetId id) const;
  /// True when the target's pool is a current or former pool of the frontend.
  [[nodiscard]] bool may_reach(const FrontendView& frontend, const RegisteredTarget& target) const;
  /// True when new flows of the frontend may go to the target's pool.
  [[nodiscard]] bool may_open(const FrontendView& frontend, const RegisteredTarget& target) const;
  /// Targets that may hold an address, in unspecified order. Valid until the next `reset` or
  /// `apply`.
  [[nodiscard]] absl::Span<const TargetId> targets_at(const Endpoint& address) const;
  /// True when another target may hold the target's address.
  [[nodiscard]] bool shares_address(const RegisteredTarget& target) const {
    return targets_at(target.address).size() > 1;
  }
  /// True when the leader no longer receives heartbeats of the target, but does receive those of
  /// another one at its address. Depends on the replicated phases only, so that all balancers with
  /// the same state agree.
  [[nodiscard]] bool is_probably_replaced(const RegisteredTarget& target) const;
  /// True when an operator's evacuation command keeps new flows from the target's zone.
  [[nodiscard]] bool is_evacuated(const RegisteredTarget& target) const {
    return evacuated_zones_.contains(target.zone);
  }
  /// Targets of a pool that may get new flows: not draining, ended, or in an evacuated zone.
  [[nodiscard]] const std::vector<const RegisteredTarget*>& pool_targets(std::uint32_t pool) const {
    return pool_targets_[pool];
  }
  /// True when the target belongs to the pool.
  [[nodiscard]] bool is_in_pool(TargetId id, std::uint32_t pool) const;
  /// Maximum new flows per second for a target of the pool while it warms up; 0 for no limit.
  [[nodiscard]] double cold_flows_per_s(const std::string& pool) const;
  /// Calls `visit` for each target in unspecified order.
  template <typename Visitor>
  void visit_targets(const Visitor& visit) const {
    for (const auto& [id, entry] : targets_) {
      visit(entry.target);
    }
  }
  [[nodiscard]] std::size_t targets() const { return targets_.size(); }
  [[nodiscard]] OperatorVersion version() const { return version_; }
  [[nodiscard]] std::uint32_t idle_timeout_ms() const { return idle_timeout_ms_; }

 private:
  /// Position of a target that is not in a pool's list.
  static constexpr std::size_t kNotPlaceable = SIZE_MAX;

  struct TargetEntry {
    RegisteredTarget target;
    std::uint32_t pool = 0;
    /// Index in the pool's list.
    std::size_t pool_position = kNotPlaceable;
  };

  std::uint32_t pool_index(const std::string& name);
  /// Returns true when a flow rate of targets that are warming up has changed.
  bool set_pools(const std::vector<Pool>& pools);
  void upsert_frontend(const Frontend& frontend);
  void drop_frontend(const Endpoint& address);
  void upsert_target(const RegisteredTarget& target);
  void remove_target(TargetId id);
  /// Replaces the set of evacuated zones.
  void set_evacuated_zones(const std::vector<EvacuatedZone>& evacuated);
  /// Adds a target to its pool's list if it may get new flows.
  void add_to_pool(TargetEntry& entry);
  /// Removes a target from its pool's list in constant time.
  void remove_from_pool(TargetEntry& entry);
  /// Removes a target from the indexes before it changes.
  void remove_from_indexes(TargetEntry& entry);

  OperatorVersion version_ = 0;
  std::uint32_t idle_timeout_ms_ = 0;
  absl::node_hash_map<TargetId, TargetEntry> targets_;
  absl::flat_hash_map<std::string, std::uint32_t> pools_;
  /// Only pools with a limit.
  absl::flat_hash_map<std::string, double> cold_flows_per_s_;
  std::vector<std::vector<const RegisteredTarget*>> pool_targets_;
  absl::flat_hash_map<Endpoint, FrontendView> frontends_;
  absl::flat_hash_set<Endpoint> dropped_;
  absl::flat_hash_set<std::string> evacuated_zones_;
  absl::flat_hash_map<FlowToken, TargetId> by_token_;
  /// Targets that were not replaced, by address.
  absl::flat_hash_map<Endpoint, std::vector<TargetId>> by_address_;
};

}  // namespace gorsevalve
