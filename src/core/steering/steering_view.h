/// Index over the steering state in force, as the packet path needs it. Follows the state by its
/// changes, so that a change costs what it changes and not what the state holds.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// A pool of one frontend with its share of new flows.
struct PoolShare {
  std::uint32_t pool = 0;
  std::uint32_t weight = 0;
};

/// A frontend with its pools as indexes into the view.
struct FrontendView {
  Endpoint address;
  std::vector<PoolShare> shares;
  /// After this time callers give up.
  Duration timeout{0};
  /// Within this time an answer is worth most to its caller.
  Duration latency_objective{0};
  RequestClass request_class = RequestClass::kIdempotent;
  /// 0 is served first.
  std::uint32_t priority = 0;
  /// Pools that flows of this frontend may be at: present and former ones.
  absl::flat_hash_set<std::uint32_t> reachable_pools;
};

class SteeringView {
 public:
  /// Takes a whole state. Frontends that were there before and are not in it count as dropped.
  void reset(const SteeringState& state);
  /// Takes a change. True when what cold targets take has changed with the settings.
  bool apply(const SteeringDelta& delta);

  [[nodiscard]] const FrontendView* frontend(const Endpoint& address) const;
  /// True when the address was a frontend earlier in the life of this process, and is none now.
  [[nodiscard]] bool was_dropped(const Endpoint& address) const {
    return dropped_.contains(address);
  }
  /// Targets that are found stay where they are until they are forgotten.
  [[nodiscard]] const RegisteredTarget* target(FlowToken token) const;
  [[nodiscard]] const RegisteredTarget* target_by_id(TargetId id) const;
  /// True when flows of the frontend may be at the target.
  [[nodiscard]] bool may_reach(const FrontendView& frontend, const RegisteredTarget& target) const;
  /// True when the target has ended and another one listens at its address now.
  [[nodiscard]] bool is_replaced(const RegisteredTarget& target) const;
  /// Targets at an address that have not ended, the earliest first; of the whole states that were
  /// taken, the order is not known.
  [[nodiscard]] std::vector<TargetId> live_targets_at(const Endpoint& address) const;
  /// True when an operator's order keeps new flows from the target's zone.
  [[nodiscard]] bool is_evacuated(const RegisteredTarget& target) const {
    return evacuated_zones_.contains(target.zone);
  }
  /// Targets of a pool that may get new flows: neither ending nor in an evacuated zone.
  [[nodiscard]] const std::vector<const RegisteredTarget*>& pool_targets(std::uint32_t pool) const {
    return pool_targets_[pool];
  }
  /// True when the target belongs to the pool.
  [[nodiscard]] bool is_in_pool(TargetId id, std::uint32_t pool) const;
  /// New flows per second that a cold target of the pool takes; 0 where the operator set no bound.
  [[nodiscard]] double cold_flows_per_s(const std::string& pool) const;
  /// Calls `visit` with each target, in no order.
  template <typename Visitor>
  void visit_targets(const Visitor& visit) const {
    for (const auto& [id, held] : targets_) {
      visit(held.target);
    }
  }
  [[nodiscard]] std::size_t targets() const { return targets_.size(); }
  [[nodiscard]] OperatorVersion version() const { return version_; }
  [[nodiscard]] std::uint32_t idle_timeout_ms() const { return idle_timeout_ms_; }

 private:
  /// Place of a target that is in no pool's list.
  static constexpr std::size_t kNotPlaceable = SIZE_MAX;

  struct TargetEntry {
    RegisteredTarget target;
    std::uint32_t pool = 0;
    /// Where it stands in its pool's list.
    std::size_t pool_position = kNotPlaceable;
  };

  std::uint32_t pool_index(const std::string& name);
  /// True when a rate of cold targets has changed.
  bool set_pools(const std::vector<Pool>& pools);
  void upsert_frontend(const Frontend& frontend);
  void drop_frontend(const Endpoint& address);
  void upsert_target(const RegisteredTarget& target);
  void forget_target(TargetId id);
  /// Takes all evacuated zones in place of the earlier ones.
  void set_evacuated_zones(const std::vector<EvacuatedZone>& evacuated);
  /// Puts a target into its pool's list when it may get new flows.
  void add_to_pool(TargetEntry& held);
  /// Takes a target out of its pool's list. Costs the same however many targets the pool has.
  void remove_from_pool(TargetEntry& held);
  /// Takes a target out of the indexes, before it changes.
  void remove_from_indexes(TargetEntry& held);

  OperatorVersion version_ = 0;
  std::uint32_t idle_timeout_ms_ = 0;
  absl::node_hash_map<TargetId, TargetEntry> targets_;
  absl::flat_hash_map<std::string, std::uint32_t> pools_;
  /// Of the pools that have a bound.
  absl::flat_hash_map<std::string, double> cold_flows_per_s_;
  std::vector<std::vector<const RegisteredTarget*>> pool_targets_;
  absl::flat_hash_map<Endpoint, FrontendView> frontends_;
  absl::flat_hash_set<Endpoint> dropped_;
  absl::flat_hash_set<std::string> evacuated_zones_;
  absl::flat_hash_map<FlowToken, TargetId> by_token_;
  /// Targets that have not ended, by address.
  absl::flat_hash_map<Endpoint, std::vector<TargetId>> live_by_address_;
};

}  // namespace gorsevalve
