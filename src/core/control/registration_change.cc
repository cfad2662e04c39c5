#include "core/control/registration_change.h"

#include <utility>

#include "core/control/steering_commands.h"
#include "core/control/target_lives.h"

namespace gorsevalve {
namespace {

/// Multiplier of the Fibonacci hash (Knuth, "The art of computer programming", volume 3, 6.4).
constexpr std::uint64_t kTokenMultiplier = 0x9E3779B97F4A7C15ULL;

}  // namespace

FlowToken RegistrationChange::choose_token(TargetId id) const {
  auto token = static_cast<FlowToken>((id * kTokenMultiplier) >> 32U);
  while (token == 0 || tokens_.contains(token) || new_tokens_.contains(token)) {
    ++token;
  }
  return token;
}

void RegistrationChange::announce(RegisteredTarget announced) {
  const RegisteredTarget* known = current(announced.id);
  if (!is_news(announced, known)) {
    return;
  }
  announced.token = known == nullptr ? choose_token(announced.id) : known->token;
  put(std::move(announced));
}

void RegistrationChange::set_phase(const TargetLife& life, TargetPhase phase) {
  const RegisteredTarget* known = current(life.id);
  if (known == nullptr || known->life() != life || known->phase >= phase) {
    return;
  }
  RegisteredTarget changed = *known;
  changed.phase = phase;
  put(std::move(changed));
}

void RegistrationChange::silence(const TargetLife& life) { set_phase(life, TargetPhase::kSilent); }

void RegistrationChange::end(const TargetLife& life) {
  const RegisteredTarget* known = current(life.id);
  const bool is_unknown =
      known == nullptr ||
      compare_lives(life.started_at_ms, known->started_at_ms) == LifeOrder::kLater;
  if (!is_unknown) {
    set_phase(life, TargetPhase::kEnded);
    return;
  }
  RegisteredTarget ended = known == nullptr ? RegisteredTarget{} : *known;
  ended.token = known == nullptr ? choose_token(life.id) : known->token;
  ended.id = life.id;
  ended.started_at_ms = life.started_at_ms;
  ended.sequence = 0;
  ended.phase = TargetPhase::kEnded;
  put(std::move(ended));
}

void RegistrationChange::forget(const TargetLife& life) {
  const RegisteredTarget* known = current(life.id);
  if (known != nullptr && known->life() == life && known->phase == TargetPhase::kEnded &&
      !changed_at_.contains(life.id)) {
    delta_.forgotten_targets.push_back(life.id);
  }
}

std::optional<SteeringDelta> RegistrationChange::take() {
  if (delta_.upserted_targets.empty() && delta_.forgotten_targets.empty()) {
    return std::nullopt;
  }
  return std::move(delta_);
}

const RegisteredTarget* RegistrationChange::current(TargetId id) const {
  const auto changed = changed_at_.find(id);
  return changed == changed_at_.end() ? find_target(state_, id)
                                      : &delta_.upserted_targets[changed->second];
}

void RegistrationChange::put(RegisteredTarget target) {
  new_tokens_.insert(target.token);
  const auto [place, is_new] = changed_at_.try_emplace(target.id, delta_.upserted_targets.size());
  if (is_new) {
    delta_.upserted_targets.push_back(std::move(target));
  } else {
    delta_.upserted_targets[place->second] = std::move(target);
  }
}

}  // namespace gorsevalve
