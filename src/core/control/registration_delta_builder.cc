#include "core/control/registration_delta_builder.h"

#include <utility>

#include "core/control/steering_commands.h"
#include "core/control/target_incarnations.h"

namespace gorsevalve {
namespace {

/// Multiplier of Fibonacci hashing (Knuth, "The Art of Computer Programming", volume 3, section
/// 6.4).
constexpr std::uint64_t kTokenMultiplier = 0x9E3779B97F4A7C15ULL;

}  // namespace

FlowToken RegistrationDeltaBuilder::choose_token(TargetId id) const {
  auto token = static_cast<FlowToken>((id * kTokenMultiplier) >> 32U);
  while (token == 0 || tokens_.contains(token) || new_tokens_.contains(token)) {
    ++token;
  }
  return token;
}

void RegistrationDeltaBuilder::announce(RegisteredTarget announced) {
  const RegisteredTarget* known = find_current(announced.id);
  if (!changes_registration(announced, known)) {
    return;
  }
  announced.token = known == nullptr ? choose_token(announced.id) : known->token;
  put(std::move(announced));
}

void RegistrationDeltaBuilder::set_phase(const TargetIncarnation& target_incarnation,
                                         TargetPhase phase) {
  const RegisteredTarget* known = find_current(target_incarnation.id);
  if (known == nullptr || known->incarnation() != target_incarnation || known->phase >= phase) {
    return;
  }
  RegisteredTarget changed = *known;
  changed.phase = phase;
  put(std::move(changed));
}

void RegistrationDeltaBuilder::mark_silent(const TargetIncarnation& target_incarnation) {
  set_phase(target_incarnation, TargetPhase::kSilent);
}

void RegistrationDeltaBuilder::mark_ended(const TargetIncarnation& target_incarnation) {
  const RegisteredTarget* known = find_current(target_incarnation.id);
  const bool is_unknown =
      known == nullptr || compare_incarnations(target_incarnation.started_at_ms,
                                               known->started_at_ms) == IncarnationOrder::kLater;
  if (!is_unknown) {
    set_phase(target_incarnation, TargetPhase::kEnded);
    return;
  }
  RegisteredTarget ended = known == nullptr ? RegisteredTarget{} : *known;
  ended.token = known == nullptr ? choose_token(target_incarnation.id) : known->token;
  ended.id = target_incarnation.id;
  ended.started_at_ms = target_incarnation.started_at_ms;
  ended.sequence = 0;
  ended.phase = TargetPhase::kEnded;
  put(std::move(ended));
}

void RegistrationDeltaBuilder::mark_replaced(const TargetIncarnation& target_incarnation) {
  set_phase(target_incarnation, TargetPhase::kReplaced);
}

void RegistrationDeltaBuilder::remove(const TargetIncarnation& target_incarnation) {
  const RegisteredTarget* known = find_current(target_incarnation.id);
  if (known != nullptr && known->incarnation() == target_incarnation && known->has_ended() &&
      !changed_index_.contains(target_incarnation.id)) {
    delta_.removed_targets.push_back(target_incarnation.id);
  }
}

std::optional<SteeringDelta> RegistrationDeltaBuilder::take_delta() {
  if (delta_.upserted_targets.empty() && delta_.removed_targets.empty()) {
    return std::nullopt;
  }
  return std::move(delta_);
}

const RegisteredTarget* RegistrationDeltaBuilder::find_current(TargetId id) const {
  const auto changed = changed_index_.find(id);
  return changed == changed_index_.end() ? find_target(state_, id)
                                         : &delta_.upserted_targets[changed->second];
}

void RegistrationDeltaBuilder::put(RegisteredTarget target) {
  new_tokens_.insert(target.token);
  const auto [position, is_new] =
      changed_index_.try_emplace(target.id, delta_.upserted_targets.size());
  if (is_new) {
    delta_.upserted_targets.push_back(std::move(target));
  } else {
    delta_.upserted_targets[position->second] = std::move(target);
  }
}

}  // namespace gorsevalve
