#include "core/control/steering_commands.h"

#include <algorithm>
#include <set>

namespace gorsevalve {
namespace {

/// Multiplier of the Fibonacci hash (Knuth, "The art of computer programming", volume 3, 6.4).
constexpr std::uint64_t kTokenMultiplier = 0x9E3779B97F4A7C15ULL;

const Frontend* find_frontend(const SteeringSettings& settings, const Endpoint& address) {
  const auto found = std::lower_bound(
      settings.frontends.begin(), settings.frontends.end(), address,
      [](const Frontend& frontend, const Endpoint& key) { return frontend.address < key; });
  const bool matches = found != settings.frontends.end() && found->address == address;
  return matches ? &*found : nullptr;
}

/// A token that no target of the state has; it depends on the state and the id alone.
FlowToken choose_token(const std::set<FlowToken>& used, TargetId id) {
  auto token = static_cast<FlowToken>((id * kTokenMultiplier) >> 32U);
  while (token == 0 || used.contains(token)) {
    ++token;
  }
  return token;
}

/// The frontend as it will be held: with the pools that its open flows may be at.
Frontend with_former_pools(Frontend frontend, const Frontend* before) {
  frontend.former_pools.clear();
  if (before == nullptr) {
    return frontend;
  }
  std::set<std::string> former(before->former_pools.begin(), before->former_pools.end());
  for (const auto& part : before->pools) {
    former.insert(part.pool);
  }
  for (const auto& part : frontend.pools) {
    former.erase(part.pool);
  }
  frontend.former_pools.assign(former.begin(), former.end());
  return frontend;
}

/// True when the announcement says something that the state does not hold yet.
bool is_news(const RegisteredTarget& announced, const RegisteredTarget* known) {
  if (known == nullptr) {
    return true;
  }
  if (known->phase == TargetPhase::kEnded || announced.sequence <= known->sequence) {
    return false;
  }
  const bool returns_from_draining =
      known->phase == TargetPhase::kDraining && announced.phase != TargetPhase::kDraining;
  const bool same = known->pool == announced.pool && known->address == announced.address &&
                    known->phase == announced.phase && known->slots == announced.slots;
  return !same && !returns_from_draining;
}

class RegistrationChange {
 public:
  explicit RegistrationChange(const SteeringState& state) : state_(state) {
    for (const auto& target : state.targets) {
      used_.insert(target.token);
    }
  }

  void announce(RegisteredTarget announced) {
    const RegisteredTarget* known = current(announced.id);
    if (!is_news(announced, known)) {
      return;
    }
    announced.token = known == nullptr ? choose_token(used_, announced.id) : known->token;
    used_.insert(announced.token);
    put(std::move(announced));
  }

  void set_phase(TargetId id, TargetPhase phase) {
    const RegisteredTarget* known = current(id);
    if (known == nullptr || known->phase >= phase) {
      return;
    }
    RegisteredTarget changed = *known;
    changed.phase = phase;
    put(std::move(changed));
  }

  /// Remembers an id that ended before it was known, so that a late announcement of it is refused.
  void end(TargetId id) {
    if (current(id) == nullptr) {
      RegisteredTarget unknown;
      unknown.id = id;
      unknown.token = choose_token(used_, id);
      unknown.phase = TargetPhase::kEnded;
      used_.insert(unknown.token);
      put(std::move(unknown));
      return;
    }
    set_phase(id, TargetPhase::kEnded);
  }

  void forget(TargetId id) {
    const RegisteredTarget* known = find_target(state_, id);
    if (known != nullptr && known->phase == TargetPhase::kEnded) {
      delta_.forgotten_targets.push_back(id);
    }
  }

  std::optional<SteeringDelta> take() {
    if (delta_.upserted_targets.empty() && delta_.forgotten_targets.empty()) {
      return std::nullopt;
    }
    return std::move(delta_);
  }

 private:
  [[nodiscard]] const RegisteredTarget* current(TargetId id) const {
    for (const auto& target : delta_.upserted_targets) {
      if (target.id == id) {
        return &target;
      }
    }
    return find_target(state_, id);
  }

  void put(RegisteredTarget target) {
    std::erase_if(delta_.upserted_targets,
                  [&](const RegisteredTarget& other) { return other.id == target.id; });
    delta_.upserted_targets.push_back(std::move(target));
  }

  const SteeringState& state_;
  std::set<FlowToken> used_;
  SteeringDelta delta_;
};

}  // namespace

const RegisteredTarget* find_target(const SteeringState& state, TargetId id) {
  const auto found = std::lower_bound(
      state.targets.begin(), state.targets.end(), id,
      [](const RegisteredTarget& target, TargetId key) { return target.id < key; });
  const bool matches = found != state.targets.end() && found->id == id;
  return matches ? &*found : nullptr;
}

bool announces_news(const SteeringState& state, const RegisteredTarget& announced) {
  return is_news(announced, find_target(state, announced.id));
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
                                            const RegistrationCommand& command) {
  RegistrationChange change(state);
  for (const auto& announced : command.announced) {
    change.announce(announced);
  }
  for (const TargetId id : command.silent) {
    change.set_phase(id, TargetPhase::kSilent);
  }
  for (const TargetId id : command.ended) {
    change.end(id);
  }
  for (const TargetId id : command.forgotten) {
    change.forget(id);
  }
  return change.take();
}

void apply_steering_delta(SteeringState& state, const SteeringDelta& delta) {
  if (delta.has_settings) {
    SteeringSettings& settings = state.settings;
    settings.version = delta.version;
    settings.idle_timeout_ms = delta.idle_timeout_ms;
    settings.pools = delta.pools;
    std::set<Endpoint> replaced(delta.removed_frontends.begin(), delta.removed_frontends.end());
    for (const auto& frontend : delta.upserted_frontends) {
      replaced.insert(frontend.address);
    }
    std::erase_if(settings.frontends,
                  [&](const Frontend& frontend) { return replaced.contains(frontend.address); });
    settings.frontends.insert(settings.frontends.end(), delta.upserted_frontends.begin(),
                              delta.upserted_frontends.end());
    std::sort(settings.frontends.begin(), settings.frontends.end(),
              [](const Frontend& a, const Frontend& b) { return a.address < b.address; });
  }
  std::set<TargetId> replaced(delta.forgotten_targets.begin(), delta.forgotten_targets.end());
  for (const auto& target : delta.upserted_targets) {
    replaced.insert(target.id);
  }
  std::erase_if(state.targets,
                [&](const RegisteredTarget& target) { return replaced.contains(target.id); });
  state.targets.insert(state.targets.end(), delta.upserted_targets.begin(),
                       delta.upserted_targets.end());
  std::sort(state.targets.begin(), state.targets.end(),
            [](const RegisteredTarget& a, const RegisteredTarget& b) { return a.id < b.id; });
}

}  // namespace gorsevalve
