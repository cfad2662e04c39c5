/// Failure detector of the leader for targets: finds incarnations whose heartbeats timed out or
/// whose address another target holds, and ended ones that can be removed. Not persisted; a new
/// leader starts with a full timeout for each target.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

#include "core/control/address_holders.h"
#include "core/control/steering_commands.h"
#include "model/target_health.h"
#include "model/time.h"

namespace gorsevalve {

struct RegistrationTiming {
  /// A target without an announcement for this long becomes silent.
  Duration heartbeat_timeout = std::chrono::milliseconds(4000);
  /// A silent target without an announcement for this long is considered ended.
  Duration ended_after = std::chrono::seconds(40);
  /// An ended target is kept for this long, because its open flows may still need it.
  Duration remove_after = std::chrono::seconds(120);
};

class RegistrationMonitor {
 public:
  explicit RegistrationMonitor(const RegistrationTiming& timing)
      : timing_(timing), holders_(timing.heartbeat_timeout) {}

  /// Clears the records of an earlier term.
  void on_elected(Instant now);
  /// Records an announcement received by this replica. Its incarnation is the committed one or is
  /// about to be.
  void on_announcement(const TargetIncarnation& target_incarnation, Instant now);
  /// Records an announcement reported by a follower. A follower that lags behind may report an
  /// earlier incarnation.
  void on_follower_report(const TargetIncarnation& target_incarnation, Instant received_at);
  /// Records targets that balancers saw replaced.
  void on_observations(const std::vector<TargetStatistics>& observations,
                       const SteeringState& state);
  /// Returns the phase changes that are due; empty if there are none.
  [[nodiscard]] RegistrationCommand check_timeouts(const SteeringState& state, Instant now);

 private:
  /// Time of an event of one incarnation.
  struct TimedIncarnation {
    TargetStart started_at_ms = 0;
    Instant at;
  };

  /// Time of the last announcement of the incarnation in this term.
  [[nodiscard]] std::optional<Instant> heard_at(const RegisteredTarget& target) const;
  /// Time of the last announcement of the incarnation, or of the election if that is later.
  [[nodiscard]] Instant last_seen(const RegisteredTarget& target) const;
  /// Addresses at which more than one target is registered that was not replaced.
  [[nodiscard]] AddressClaims find_shared_addresses(const SteeringState& state) const;
  /// Time at which this leader first found the incarnation ended.
  Instant ended_at(const RegisteredTarget& target, Instant now);

  RegistrationTiming timing_;
  AddressHolders holders_;
  Instant elected_at_;
  absl::flat_hash_map<TargetId, TimedIncarnation> last_seen_;
  absl::flat_hash_map<TargetId, TimedIncarnation> ended_;
};

}  // namespace gorsevalve
