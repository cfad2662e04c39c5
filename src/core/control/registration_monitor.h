/// The leader's knowledge of when each target was heard last, and the conclusions from it: targets
/// whose heartbeats stopped, and ended ones that can be forgotten. Kept in memory only; a new
/// leader begins with a full time-out for each target.
#pragma once

#include <absl/container/flat_hash_map.h>

#include "core/control/steering_commands.h"
#include "model/time.h"

namespace gorsevalve {

struct RegistrationTiming {
  /// A target that was not heard for this long is silent.
  Duration silent_after = std::chrono::milliseconds(4000);
  /// A silent target that does not come back has ended.
  Duration ended_after = std::chrono::seconds(40);
  /// An ended target is remembered for this long: its open flows may still need it.
  Duration forgotten_after = std::chrono::seconds(120);
};

class RegistrationMonitor {
 public:
  explicit RegistrationMonitor(const RegistrationTiming& timing) : timing_(timing) {}

  /// Forgets what an earlier leadership heard.
  void on_elected(Instant now);
  /// A target was heard, here or at a follower that tells of it later.
  void on_heartbeat(TargetId id, Instant heard_at);
  /// What follows from the time that has passed; empty when nothing does.
  [[nodiscard]] RegistrationCommand conclude(const SteeringState& state, Instant now);

 private:
  RegistrationTiming timing_;
  Instant elected_at_;
  absl::flat_hash_map<TargetId, Instant> heard_at_;
  /// When this leader first saw a target as ended.
  absl::flat_hash_map<TargetId, Instant> ended_at_;
};

}  // namespace gorsevalve
