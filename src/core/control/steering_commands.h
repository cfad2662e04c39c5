/// Commands of the control log that change the steering state, and how they change it. Pure
/// functions: every replica and every balancer derives the same state from the same commands.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/control/token_index.h"
#include "model/steering.h"

namespace gorsevalve {

/// A whole file submitted under the policy "highest operator version wins".
struct SteeringCommand {
  SteeringSettings settings;
  /// The file as submitted, which reads give back.
  std::string text;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& settings& text;
  }
};

/// What targets said, or what the leader concluded, since the command before.
struct RegistrationCommand {
  /// Announcements; `token` is chosen when the command is applied.
  std::vector<RegisteredTarget> announced;
  /// Lives that ended.
  std::vector<TargetIncarnation> ended;
  /// Lives whose heartbeats stopped.
  std::vector<TargetIncarnation> silent;
  /// Ended lives that nothing refers to any more.
  std::vector<TargetIncarnation> removed;

  [[nodiscard]] bool empty() const {
    return announced.empty() && ended.empty() && silent.empty() && removed.empty();
  }

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& announced& ended& silent& removed;
  }
};

/// The frontend at an address, or nullptr.
const Frontend* find_frontend(const SteeringSettings& settings, const Endpoint& address);

/// The target with an id, or nullptr.
const RegisteredTarget* find_target(const SteeringState& state, TargetId id);

/// The change that a command makes to a state; nothing when it makes none (an older version, an
/// announcement that is late or says nothing new).
std::optional<SteeringDelta> steering_delta(const SteeringState& state,
                                            const SteeringSettings& submitted);
/// `tokens` are those of the state's targets.
std::optional<SteeringDelta> steering_delta(const SteeringState& state,
                                            const RegistrationCommand& command,
                                            const TokenIndex& tokens);

/// Applies a change that was made for this state.
void apply_steering_delta(SteeringState& state, const SteeringDelta& delta);

}  // namespace gorsevalve
