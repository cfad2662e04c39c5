/// Builds the delta of the steering state for one registration command. The cost is proportional to
/// the size of the command, not to the number of targets.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

#include "core/control/token_index.h"
#include "model/steering.h"

namespace gorsevalve {

class RegistrationDeltaBuilder {
 public:
  /// `tokens` must index all targets of `state`.
  RegistrationDeltaBuilder(const SteeringState& state, const TokenIndex& tokens)
      : state_(state), tokens_(tokens) {}

  /// Applies an announcement if it changes the registration. A later incarnation replaces the known
  /// one but keeps its token, so the new process receives packets of old flows and resets them,
  /// which clients detect faster than a timeout.
  void announce(RegisteredTarget announced);
  /// Marks an incarnation whose heartbeats timed out.
  void mark_silent(const TargetIncarnation& target_incarnation);
  /// Marks an incarnation as ended. An unknown incarnation is stored, to reject late announcements
  /// of it.
  void mark_ended(const TargetIncarnation& target_incarnation);
  /// Marks an incarnation whose address another target holds.
  void mark_replaced(const TargetIncarnation& target_incarnation);
  /// Removes an ended incarnation that nothing refers to any more.
  void remove(const TargetIncarnation& target_incarnation);

  /// Returns the delta, or nothing if the state does not change.
  std::optional<SteeringDelta> take_delta();

 private:
  [[nodiscard]] const RegisteredTarget* find_current(TargetId id) const;
  void set_phase(const TargetIncarnation& target_incarnation, TargetPhase phase);
  [[nodiscard]] FlowToken choose_token(TargetId id) const;
  void put(RegisteredTarget target);

  const SteeringState& state_;
  const TokenIndex& tokens_;
  /// Tokens assigned by this change.
  absl::flat_hash_set<FlowToken> new_tokens_;
  /// Index of each changed target in `upserted_targets`.
  absl::flat_hash_map<TargetId, std::size_t> changed_index_;
  SteeringDelta delta_;
};

}  // namespace gorsevalve
