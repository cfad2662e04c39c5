#include "core/control/steering_commands.h"

#include <algorithm>
#include <set>

#include "core/control/registration_delta_builder.h"

namespace gorsevalve {
namespace {

/// Returns the frontend with the pools of earlier revisions, which its open flows may still use.
Frontend with_former_pools(Frontend frontend, const Frontend* before) {
  frontend.former_pools.clear();
  if (before == nullptr) {
    return frontend;
  }
  std::set<std::string> former(before->former_pools.begin(), before->former_pools.end());
  for (const auto& weighted_pool : before->pools) {
    former.insert(weighted_pool.pool);
  }
  for (const auto& weighted_pool : frontend.pools) {
    former.erase(weighted_pool.pool);
  }
  frontend.former_pools.assign(former.begin(), former.end());
  return frontend;
}

/// Changes to more than 1 / kMergeDivisor of the list are merged in one pass.
constexpr std::size_t kMergeDivisor = 8;

/// Returns the position of the frontend with this address, or its insertion point.
template <typename Frontends>
auto position_of(Frontends& frontends, const Endpoint& address) {
  return std::lower_bound(
      frontends.begin(), frontends.end(), address,
      [](const Frontend& frontend, const Endpoint& key) { return frontend.address < key; });
}

void update_one_by_one(std::vector<Frontend>& frontends, const SteeringDelta& delta) {
  for (const auto& address : delta.removed_frontends) {
    const auto found = position_of(frontends, address);
    if (found != frontends.end() && found->address == address) {
      frontends.erase(found);
    }
  }
  for (const auto& changed : delta.upserted_frontends) {
    const auto found = position_of(frontends, changed.address);
    if (found != frontends.end() && found->address == changed.address) {
      *found = changed;
    } else {
      frontends.insert(found, changed);
    }
  }
}

void merge_all(std::vector<Frontend>& frontends, const SteeringDelta& delta) {
  std::set<Endpoint> replaced(delta.removed_frontends.begin(), delta.removed_frontends.end());
  for (const auto& changed : delta.upserted_frontends) {
    replaced.insert(changed.address);
  }
  std::erase_if(frontends,
                [&](const Frontend& existing) { return replaced.contains(existing.address); });
  frontends.insert(frontends.end(), delta.upserted_frontends.begin(),
                   delta.upserted_frontends.end());
  std::sort(frontends.begin(), frontends.end(),
            [](const Frontend& a, const Frontend& b) { return a.address < b.address; });
}

/// Inserts, replaces and removes frontends in a list ordered by address. A small change of a long
/// list does not rebuild the list.
void update_frontends(std::vector<Frontend>& frontends, const SteeringDelta& delta) {
  const std::size_t changes = delta.upserted_frontends.size() + delta.removed_frontends.size();
  if (changes * kMergeDivisor < frontends.size()) {
    update_one_by_one(frontends, delta);
  } else {
    merge_all(frontends, delta);
  }
}

}  // namespace

const Frontend* find_frontend(const SteeringSettings& settings, const Endpoint& address) {
  const auto found = position_of(settings.frontends, address);
  const bool matches = found != settings.frontends.end() && found->address == address;
  return matches ? &*found : nullptr;
}

const RegisteredTarget* find_target(const SteeringState& state, TargetId id) {
  const auto found = state.targets.find(id);
  return found == state.targets.end() ? nullptr : &found->second;
}

std::optional<SteeringDelta> steering_delta(const SteeringState& state,
                                            const SteeringSettings& submitted) {
  if (submitted.version <= state.settings.version) {
    return std::nullopt;
  }
  SteeringDelta delta;
  delta.has_settings = true;
  delta.version = submitted.version;
  delta.idle_timeout_ms = submitted.idle_timeout_ms;
  delta.pools = submitted.pools;
  std::set<Endpoint> kept;
  for (const auto& frontend : submitted.frontends) {
    kept.insert(frontend.address);
    const Frontend* before = find_frontend(state.settings, frontend.address);
    Frontend after = with_former_pools(frontend, before);
    if (before == nullptr || *before != after) {
      delta.upserted_frontends.push_back(std::move(after));
    }
  }
  for (const auto& frontend : state.settings.frontends) {
    if (!kept.contains(frontend.address)) {
      delta.removed_frontends.push_back(frontend.address);
    }
  }
  return delta;
}

std::optional<SteeringDelta> steering_delta(const SteeringState& state,
                                            const RegistrationCommand& command,
                                            const TokenIndex& tokens) {
  RegistrationDeltaBuilder builder(state, tokens);
  for (const auto& announced : command.announced) {
    builder.announce(announced);
  }
  for (const TargetIncarnation& incarnation : command.silent) {
    builder.mark_silent(incarnation);
  }
  for (const TargetIncarnation& incarnation : command.ended) {
    builder.mark_ended(incarnation);
  }
  for (const TargetIncarnation& incarnation : command.replaced) {
    builder.mark_replaced(incarnation);
  }
  for (const TargetIncarnation& incarnation : command.removed) {
    builder.remove(incarnation);
  }
  return builder.take_delta();
}

void apply_steering_delta(SteeringState& state, const SteeringDelta& delta) {
  if (delta.has_settings) {
    SteeringSettings& settings = state.settings;
    settings.version = delta.version;
    settings.idle_timeout_ms = delta.idle_timeout_ms;
    settings.pools = delta.pools;
    update_frontends(settings.frontends, delta);
  }
  for (const TargetId id : delta.removed_targets) {
    state.targets.erase(id);
  }
  for (const auto& target : delta.upserted_targets) {
    state.put(target);
  }
  if (delta.has_evacuations) {
    state.evacuated_zones = delta.evacuated_zones;
  }
}

}  // namespace gorsevalve
