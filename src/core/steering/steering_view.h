/// Index over one revision of the steering state, as the packet path needs it. Immutable.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <string>
#include <vector>

#include "model/steering.h"

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
  /// Pools that flows of this frontend may be at: present and former ones.
  absl::flat_hash_set<std::uint32_t> reachable_pools;
};

class SteeringView {
 public:
  /// Index of a pool that no configuration names.
  static constexpr std::uint32_t kNoPool = 0xFFFFFFFF;

  /// `previous` may be nullptr; frontends that it had and this state lacks count as dropped.
  SteeringView(const SteeringState& state, const SteeringView* previous);

  [[nodiscard]] const FrontendView* frontend(const Endpoint& address) const;
  /// True when the address was a frontend earlier in the life of this process, and is none now.
  [[nodiscard]] bool was_dropped(const Endpoint& address) const {
    return dropped_.contains(address);
  }
  [[nodiscard]] const RegisteredTarget* target(FlowToken token) const;
  [[nodiscard]] const RegisteredTarget* target_by_id(TargetId id) const;
  /// True when flows of the frontend may be at the target.
  [[nodiscard]] bool may_reach(const FrontendView& frontend, const RegisteredTarget& target) const;
  /// True when the target has ended and another one listens at its address now.
  [[nodiscard]] bool is_replaced(const RegisteredTarget& target) const;
  /// Targets of a pool that are not ending, as indexes into `targets`.
  [[nodiscard]] const std::vector<std::uint32_t>& pool_targets(std::uint32_t pool) const {
    return pool_targets_[pool];
  }
  [[nodiscard]] const std::vector<RegisteredTarget>& targets() const { return targets_; }
  [[nodiscard]] OperatorVersion version() const { return version_; }
  [[nodiscard]] std::uint32_t idle_timeout_ms() const { return idle_timeout_ms_; }

 private:
  std::uint32_t pool_index(const std::string& name);
  void add_frontend(const Frontend& frontend);
  void add_target(std::uint32_t index);

  OperatorVersion version_ = 0;
  std::uint32_t idle_timeout_ms_ = 0;
  std::vector<RegisteredTarget> targets_;
  absl::flat_hash_map<std::string, std::uint32_t> pools_;
  std::vector<std::vector<std::uint32_t>> pool_targets_;
  absl::flat_hash_map<Endpoint, FrontendView> frontends_;
  absl::flat_hash_set<Endpoint> dropped_;
  absl::flat_hash_map<FlowToken, std::uint32_t> by_token_;
  absl::flat_hash_map<TargetId, std::uint32_t> by_id_;
  /// Latest target that has not ended at each address.
  absl::flat_hash_map<Endpoint, TargetId> living_at_;
};

}  // namespace gorsevalve
