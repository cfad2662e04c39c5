#include "core/steering/steering_view.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {

void SteeringView::reset(const SteeringState& state) {
  absl::flat_hash_set<Endpoint> present;
  for (const auto& frontend : state.settings.frontends) {
    present.insert(frontend.address);
  }
  std::vector<Endpoint> removed;
  for (const auto& [address, frontend] : frontends_) {
    if (!present.contains(address)) {
      removed.push_back(address);
    }
  }
  for (const auto& address : removed) {
    drop_frontend(address);
  }
  targets_.clear();
  by_token_.clear();
  by_address_.clear();
  for (auto& targets : pool_targets_) {
    targets.clear();
  }
  version_ = state.settings.version;
  idle_timeout_ms_ = state.settings.idle_timeout_ms;
  set_pools(state.settings.pools);
  for (const auto& frontend : state.settings.frontends) {
    upsert_frontend(frontend);
  }
  set_evacuated_zones(state.evacuated_zones);
  for (const auto& [id, target] : state.targets) {
    upsert_target(target);
  }
}

bool SteeringView::apply(const SteeringDelta& delta) {
  bool rates_changed = false;
  if (delta.has_settings) {
    version_ = delta.version;
    idle_timeout_ms_ = delta.idle_timeout_ms;
    rates_changed = set_pools(delta.pools);
    for (const auto& address : delta.removed_frontends) {
      drop_frontend(address);
    }
    for (const auto& frontend : delta.upserted_frontends) {
      upsert_frontend(frontend);
    }
  }
  for (const TargetId id : delta.removed_targets) {
    remove_target(id);
  }
  for (const auto& target : delta.upserted_targets) {
    upsert_target(target);
  }
  if (delta.has_evacuations) {
    set_evacuated_zones(delta.evacuated_zones);
  }
  return rates_changed;
}

void SteeringView::set_evacuated_zones(const std::vector<EvacuatedZone>& evacuated) {
  evacuated_zones_.clear();
  for (const auto& one : evacuated) {
    evacuated_zones_.insert(one.zone);
  }
  for (auto& targets : pool_targets_) {
    targets.clear();
  }
  std::vector<TargetId> ids;
  ids.reserve(targets_.size());
  for (const auto& [id, entry] : targets_) {
    ids.push_back(id);
  }
  // Makes the result independent of the hash table order.
  std::sort(ids.begin(), ids.end());
  for (const TargetId id : ids) {
    TargetEntry& entry = targets_.at(id);
    entry.pool_position = kNotPlaceable;
    add_to_pool(entry);
  }
}

void SteeringView::add_to_pool(TargetEntry& entry) {
  const RegisteredTarget& target = entry.target;
  const bool is_ending = target.phase >= TargetPhase::kDraining;
  if (!is_ending && !is_evacuated(target)) {
    std::vector<const RegisteredTarget*>& placeable = pool_targets_[entry.pool];
    entry.pool_position = placeable.size();
    placeable.push_back(&target);
  }
}

void SteeringView::remove_from_pool(TargetEntry& entry) {
  if (entry.pool_position == kNotPlaceable) {
    return;
  }
  std::vector<const RegisteredTarget*>& placeable = pool_targets_[entry.pool];
  const RegisteredTarget* last = placeable.back();
  targets_.at(last->id).pool_position = entry.pool_position;
  placeable[entry.pool_position] = last;
  placeable.pop_back();
  entry.pool_position = kNotPlaceable;
}

std::uint32_t SteeringView::pool_index(const std::string& name) {
  const auto next = static_cast<std::uint32_t>(pool_targets_.size());
  const auto [found, is_new] = pools_.try_emplace(name, next);
  if (is_new) {
    pool_targets_.emplace_back();
  }
  return found->second;
}

bool SteeringView::set_pools(const std::vector<Pool>& pools) {
  constexpr double kPerThousandSeconds = 1000;
  const auto before = std::exchange(cold_flows_per_s_, {});
  for (const auto& pool : pools) {
    if (pool.cold_flows_per_1000_s > 0) {
      cold_flows_per_s_[pool.name] = pool.cold_flows_per_1000_s / kPerThousandSeconds;
    }
  }
  return before != cold_flows_per_s_;
}

double SteeringView::cold_flows_per_s(const std::string& pool) const {
  const auto found = cold_flows_per_s_.find(pool);
  return found == cold_flows_per_s_.end() ? 0 : found->second;
}

void SteeringView::upsert_frontend(const Frontend& frontend) {
  FrontendView view;
  view.address = frontend.address;
  view.timeout = std::chrono::milliseconds(frontend.timeout_ms);
  view.latency_objective = std::chrono::milliseconds(frontend.latency_objective_ms);
  view.request_class = frontend.request_class;
  view.priority = frontend.priority;
  for (const auto& part : frontend.pools) {
    const std::uint32_t pool = pool_index(part.pool);
    view.shares.push_back({pool, part.weight});
    view.reachable_pools.insert(pool);
  }
  for (const auto& name : frontend.former_pools) {
    view.reachable_pools.insert(pool_index(name));
  }
  frontends_[frontend.address] = std::move(view);
  dropped_.erase(frontend.address);
}

void SteeringView::drop_frontend(const Endpoint& address) {
  if (frontends_.erase(address) > 0) {
    dropped_.insert(address);
  }
}

void SteeringView::remove_from_indexes(TargetEntry& entry) {
  const RegisteredTarget& target = entry.target;
  by_token_.erase(target.token);
  remove_from_pool(entry);
  if (target.phase != TargetPhase::kReplaced) {
    const auto claimants = by_address_.find(target.address);
    std::erase(claimants->second, target.id);
    if (claimants->second.empty()) {
      by_address_.erase(claimants);
    }
  }
}

void SteeringView::upsert_target(const RegisteredTarget& target) {
  const auto [found, is_new] = targets_.try_emplace(target.id);
  TargetEntry& entry = found->second;
  if (!is_new) {
    remove_from_indexes(entry);
  }
  entry.target = target;
  entry.pool = pool_index(target.pool);
  by_token_[target.token] = target.id;
  if (target.phase != TargetPhase::kReplaced) {
    by_address_[target.address].push_back(target.id);
  }
  add_to_pool(entry);
}

void SteeringView::remove_target(TargetId id) {
  const auto found = targets_.find(id);
  if (found != targets_.end()) {
    remove_from_indexes(found->second);
    targets_.erase(found);
  }
}

const FrontendView* SteeringView::frontend(const Endpoint& address) const {
  const auto found = frontends_.find(address);
  return found == frontends_.end() ? nullptr : &found->second;
}

const RegisteredTarget* SteeringView::target(FlowToken token) const {
  const auto found = by_token_.find(token);
  return found == by_token_.end() ? nullptr : target_by_id(found->second);
}

const RegisteredTarget* SteeringView::target_by_id(TargetId id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second.target;
}

bool SteeringView::is_in_pool(TargetId id, std::uint32_t pool) const {
  const auto found = targets_.find(id);
  return found != targets_.end() && found->second.pool == pool;
}

bool SteeringView::may_reach(const FrontendView& frontend, const RegisteredTarget& target) const {
  const auto pool = pools_.find(target.pool);
  return pool != pools_.end() && frontend.reachable_pools.contains(pool->second);
}

bool SteeringView::may_open(const FrontendView& frontend, const RegisteredTarget& target) const {
  return std::any_of(frontend.shares.begin(), frontend.shares.end(), [&](const PoolShare& share) {
    return share.weight > 0 && is_in_pool(target.id, share.pool);
  });
}

bool SteeringView::is_probably_replaced(const RegisteredTarget& target) const {
  if (target.phase != TargetPhase::kSilent) {
    return false;
  }
  const absl::Span<const TargetId> claimants = targets_at(target.address);
  return std::any_of(claimants.begin(), claimants.end(), [&](TargetId claimant) {
    return targets_.at(claimant).target.phase == TargetPhase::kReady;
  });
}

absl::Span<const TargetId> SteeringView::targets_at(const Endpoint& address) const {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? absl::Span<const TargetId>{} : found->second;
}

}  // namespace gorsevalve
