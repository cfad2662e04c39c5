#include "core/control/steering_commands.h"

#include <algorithm>
#include <set>

namespace gorsevalve {
namespace {

/// Multiplier of the Fibonacci hash (Knuth, "The art of computer programming", volume 3, 6.4).
constexpr std::uint64_t kTokenMultiplier = 0x9E3779B97F4A7C15ULL;

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
  // Whether it is cold is news, not how much of the warm-up is left: two entries a warm-up. Where
  // more is left than before, it has turned cold again.
  const bool is_as_warm = (known->warm_up_ms == 0) == (announced.warm_up_ms == 0) &&
                          announced.warm_up_ms <= known->warm_up_ms;
  const bool is_same_place = known->pool == announced.pool && known->address == announced.address &&
                             known->zone == announced.zone;
  const bool same = is_same_place && known->phase == announced.phase &&
                    known->slots == announced.slots && is_as_warm;
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

/// A change of more than this share of a list, inverted, is merged as a whole.
constexpr std::size_t kMergeShare = 8;

Endpoint key_of(const Frontend& frontend) { return frontend.address; }
TargetId key_of(const RegisteredTarget& target) { return target.id; }

template <typename Element>
bool is_before(const Element& a, const Element& b) {
  return key_of(a) < key_of(b);
}

/// Puts changed elements into a list that is ordered by key, and takes removed ones out. A small
/// change of a long list costs little.
template <typename Element, typename Key>
void update_sorted(std::vector<Element>& list, const std::vector<Element>& changed,
                   const std::vector<Key>& removed) {
  const auto position = [&list](const Key& key) {
    return std::lower_bound(
        list.begin(), list.end(), key,
        [](const Element& element, const Key& k) { return key_of(element) < k; });
  };
  if ((changed.size() + removed.size()) * kMergeShare < list.size()) {
    for (const auto& key : removed) {
      const auto found = position(key);
      if (found != list.end() && key_of(*found) == key) {
        list.erase(found);
      }
    }
    for (const auto& element : changed) {
      const auto found = position(key_of(element));
      if (found != list.end() && key_of(*found) == key_of(element)) {
        *found = element;
      } else {
        list.insert(found, element);
      }
    }
    return;
  }
  std::set<Key> replaced(removed.begin(), removed.end());
  for (const auto& element : changed) {
    replaced.insert(key_of(element));
  }
  std::erase_if(list, [&](const Element& element) { return replaced.contains(key_of(element)); });
  list.insert(list.end(), changed.begin(), changed.end());
  std::sort(list.begin(), list.end(), is_before<Element>);
}

}  // namespace

const Frontend* find_frontend(const SteeringSettings& settings, const Endpoint& address) {
  const auto found = std::lower_bound(
      settings.frontends.begin(), settings.frontends.end(), address,
      [](const Frontend& frontend, const Endpoint& key) { return frontend.address < key; });
  const bool matches = found != settings.frontends.end() && found->address == address;
  return matches ? &*found : nullptr;
}

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
    update_sorted(settings.frontends, delta.upserted_frontends, delta.removed_frontends);
  }
  update_sorted(state.targets, delta.upserted_targets, delta.forgotten_targets);
  if (delta.has_evacuations) {
    state.evacuated_zones = delta.evacuated_zones;
  }
}

}  // namespace gorsevalve
