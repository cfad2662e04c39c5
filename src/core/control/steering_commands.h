/// Log commands that change the steering state, and functions that apply them. The functions are
/// pure, so every replica and balancer derives the same state from the same commands.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/control/token_index.h"
#include "model/steering.h"

namespace gorsevalve {

/// Settings file submitted by an operator; the highest operator version wins.
struct SteeringCommand {
  SteeringSettings settings;
  /// Text of the file as submitted; reads return it unchanged.
  std::string text;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& settings& text;
  }
};

/// Registration changes that targets announced or the leader detected.
struct RegistrationCommand {
  /// Announcements; `token` is assigned when the command is applied.
  std::vector<RegisteredTarget> announced;
  /// Incarnations that ended.
  std::vector<TargetIncarnation> ended;
  /// Incarnations whose heartbeats timed out.
  std::vector<TargetIncarnation> silent;
  /// Incarnations whose address another target holds.
  std::vector<TargetIncarnation> replaced;
  /// Ended incarnations to remove.
  std::vector<TargetIncarnation> removed;

  [[nodiscard]] bool empty() const {
    return announced.empty() && ended.empty() && silent.empty() && replaced.empty() &&
           removed.empty();
  }

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& announced& ended& silent& replaced& removed;
  }
};

/// Returns the frontend with this address, or nullptr.
const Frontend* find_frontend(const SteeringSettings& settings, const Endpoint& address);

/// Returns the target with this id, or nullptr.
const RegisteredTarget* find_target(const SteeringState& state, TargetId id);

/// Returns the delta that a command makes to a state, or nothing if the command has an older
/// version, is a late duplicate, or changes nothing.
std::optional<SteeringDelta> steering_delta(const SteeringState& state,
                                            const SteeringSettings& submitted);
/// `tokens` must index all targets of `state`.
std::optional<SteeringDelta> steering_delta(const SteeringState& state,
                                            const RegistrationCommand& command,
                                            const TokenIndex& tokens);

/// Applies a delta that was computed from this state.
void apply_steering_delta(SteeringState& state, const SteeringDelta& delta);

}  // namespace gorsevalve
