#include "core/control/token_index.h"

#include "core/control/steering_commands.h"

namespace gorsevalve {

TokenIndex::TokenIndex(const SteeringState& state) {
  tokens_.reserve(state.targets.size());
  for (const auto& [id, target] : state.targets) {
    tokens_.insert(target.token);
  }
}

void TokenIndex::apply(const SteeringState& before, const SteeringDelta& delta) {
  for (const TargetId id : delta.removed_targets) {
    if (const RegisteredTarget* known = find_target(before, id)) {
      tokens_.erase(known->token);
    }
  }
  for (const auto& target : delta.upserted_targets) {
    tokens_.insert(target.token);
  }
}

}  // namespace gorsevalve
