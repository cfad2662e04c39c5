/// The tokens that the targets of a steering state have, kept beside the state from change to
/// change: a new target gets one that no other has, and looking for it must not walk all targets.
#pragma once

#include <absl/container/flat_hash_set.h>

#include "model/steering.h"

namespace gorsevalve {

class TokenIndex {
 public:
  TokenIndex() = default;
  explicit TokenIndex(const SteeringState& state);

  [[nodiscard]] bool contains(FlowToken token) const { return tokens_.contains(token); }
  /// Follows a change; `before` is the state that it is about to be applied to.
  void apply(const SteeringState& before, const SteeringDelta& delta);

 private:
  absl::flat_hash_set<FlowToken> tokens_;
};

}  // namespace gorsevalve
