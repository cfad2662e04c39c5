/// The leader's knowledge of when each life of a target was heard last, and the conclusions from
/// it: lives whose heartbeats stopped, and ended ones that can be forgotten. Kept in memory only; a
/// new leader begins with a full time-out for each target.
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
  Duration remove_after = std::chrono::seconds(120);
};

class RegistrationMonitor {
 public:
  explicit RegistrationMonitor(const RegistrationTiming& timing) : timing_(timing) {}

  /// Forgets what an earlier leadership heard.
  void on_elected(Instant now);
  /// A target was heard here; its life is the known one, or about to be.
  void on_announcement(const TargetIncarnation& life, Instant now);
  /// A follower heard a target, and tells of it later. It may be behind, and mean an earlier life.
  void on_follower_report(const TargetIncarnation& life, Instant heard_at);
  /// What follows from the time that has passed; empty when nothing does.
  [[nodiscard]] RegistrationCommand check_timeouts(const SteeringState& state, Instant now);

 private:
  /// Something that was seen of one life of a target.
  struct TimedIncarnation {
    TargetStart started_at_ms = 0;
    Instant at;
  };

  /// When the life was heard last, or this leadership began.
  [[nodiscard]] Instant last_seen(const RegisteredTarget& target) const;
  /// When this leader first saw the life as ended.
  Instant ended_at(const RegisteredTarget& target, Instant now);

  RegistrationTiming timing_;
  Instant elected_at_;
  absl::flat_hash_map<TargetId, TimedIncarnation> last_seen_;
  absl::flat_hash_map<TargetId, TimedIncarnation> ended_;
};

}  // namespace gorsevalve
