#include "core/steering/steering_view.h"

#include <algorithm>

namespace gorsevalve {

SteeringView::SteeringView(const SteeringState& state, const SteeringView* previous)
    : version_(state.settings.version),
      idle_timeout_ms_(state.settings.idle_timeout_ms),
      targets_(state.targets) {
  for (const auto& frontend : state.settings.frontends) {
    add_frontend(frontend);
  }
  if (previous != nullptr) {
    dropped_ = previous->dropped_;
    for (const auto& [address, frontend] : previous->frontends_) {
      dropped_.insert(address);
    }
    for (const auto& [address, frontend] : frontends_) {
      dropped_.erase(address);
    }
  }
  for (std::uint32_t index = 0; index < targets_.size(); ++index) {
    add_target(index);
  }
}

std::uint32_t SteeringView::pool_index(const std::string& name) {
  const auto next = static_cast<std::uint32_t>(pool_targets_.size());
  const auto [found, is_new] = pools_.try_emplace(name, next);
  if (is_new) {
    pool_targets_.emplace_back();
  }
  return found->second;
}

void SteeringView::add_frontend(const Frontend& frontend) {
  FrontendView& view = frontends_[frontend.address];
  view.address = frontend.address;
  for (const auto& part : frontend.pools) {
    const std::uint32_t pool = pool_index(part.pool);
    view.shares.push_back({pool, part.weight});
    view.reachable_pools.insert(pool);
  }
  for (const auto& name : frontend.former_pools) {
    view.reachable_pools.insert(pool_index(name));
  }
}

void SteeringView::add_target(std::uint32_t index) {
  const RegisteredTarget& target = targets_[index];
  by_token_[target.token] = index;
  by_id_[target.id] = index;
  const std::uint32_t pool = pool_index(target.pool);
  if (target.phase == TargetPhase::kEnded) {
    return;
  }
  living_at_[target.address] = target.id;
  if (target.phase != TargetPhase::kDraining) {
    pool_targets_[pool].push_back(index);
  }
}

const FrontendView* SteeringView::frontend(const Endpoint& address) const {
  const auto found = frontends_.find(address);
  return found == frontends_.end() ? nullptr : &found->second;
}

const RegisteredTarget* SteeringView::target(FlowToken token) const {
  const auto found = by_token_.find(token);
  return found == by_token_.end() ? nullptr : &targets_[found->second];
}

const RegisteredTarget* SteeringView::target_by_id(TargetId id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &targets_[found->second];
}

bool SteeringView::may_reach(const FrontendView& frontend, const RegisteredTarget& target) const {
  const auto pool = pools_.find(target.pool);
  return pool != pools_.end() && frontend.reachable_pools.contains(pool->second);
}

bool SteeringView::is_replaced(const RegisteredTarget& target) const {
  const auto living = living_at_.find(target.address);
  return target.phase == TargetPhase::kEnded && living != living_at_.end() &&
         living->second != target.id;
}

}  // namespace gorsevalve
