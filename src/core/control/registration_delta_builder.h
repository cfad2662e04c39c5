/// The change that announcements, ends and conclusions about targets make to the steering state.
/// Collects what one command says; its work is proportional to the command, not to the number of
/// targets.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

#include "core/control/token_index.h"
#include "model/steering.h"

namespace gorsevalve {

class RegistrationDeltaBuilder {
 public:
  /// `tokens` holds the tokens of all targets of `state`.
  RegistrationDeltaBuilder(const SteeringState& state, const TokenIndex& tokens)
      : state_(state), tokens_(tokens) {}

  /// Takes an announcement where it is news; a later life replaces what is known of its target, but
  /// keeps the token: the target itself refuses packets of flows that it doesn't hold, which tells
  /// their callers sooner than silence would.
  void announce(RegisteredTarget announced);
  /// Nothing was heard of a life for too long.
  void mark_silent(const TargetIncarnation& life);
  /// A life has ended. One that was not known is remembered, so that a late announcement of it is
  /// refused.
  void mark_ended(const TargetIncarnation& life);
  /// Nothing refers to an ended life any more.
  void remove(const TargetIncarnation& life);

  /// What has changed; nothing when nothing has.
  std::optional<SteeringDelta> take_delta();

 private:
  [[nodiscard]] const RegisteredTarget* find_current(TargetId id) const;
  void set_phase(const TargetIncarnation& life, TargetPhase phase);
  [[nodiscard]] FlowToken choose_token(TargetId id) const;
  void put(RegisteredTarget target);

  const SteeringState& state_;
  const TokenIndex& tokens_;
  /// Tokens that this change gives to targets that had none.
  absl::flat_hash_set<FlowToken> new_tokens_;
  /// Where a target stands among the changed ones.
  absl::flat_hash_map<TargetId, std::size_t> changed_index_;
  SteeringDelta delta_;
};

}  // namespace gorsevalve
