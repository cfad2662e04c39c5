/// Index of the flow tokens in a steering state, updated with each change, to assign unused tokens
/// without scanning all targets.
#pragma once

#include <absl/container/flat_hash_set.h>

#include "model/steering.h"

namespace gorsevalve {

class TokenIndex {
 public:
  TokenIndex() = default;
  explicit TokenIndex(const SteeringState& state);

  [[nodiscard]] bool contains(FlowToken token) const { return tokens_.contains(token); }
  /// Applies a delta; `before` is the state before the delta is applied.
  void apply(const SteeringState& before, const SteeringDelta& delta);

 private:
  absl::flat_hash_set<FlowToken> tokens_;
};

}  // namespace gorsevalve
