/// The leader's decisions about the balancer members: who joins, leaves and is removed, and when.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "core/control/control_state.h"
#include "core/control/node_registry.h"
#include "model/time.h"

namespace gorsevalve {

class MembershipController {
 public:
  /// Forgets what an earlier time as leader has seen. Nothing is removed before nodes had the time
  /// to be heard.
  void on_elected(Instant now);

  /// The next membership change, or nothing. Lost members are removed at once; joins and planned
  /// leaves wait until the change before them has settled, so that state is handed over step by
  /// step.
  [[nodiscard]] std::optional<MembersCommand> next_change(const FleetState& fleet,
                                                          const NodeRegistry& nodes, Instant now);

  /// Leaving members that may end: every other member has settled without them.
  [[nodiscard]] static std::vector<Endpoint> members_safe_to_stop(const FleetState& fleet,
                                                                  const NodeRegistry& nodes);

  /// True when every active member that is heard has finished the handovers of the present
  /// revision.
  [[nodiscard]] static bool is_handover_complete(const FleetState& fleet,
                                                 const NodeRegistry& nodes);

 private:
  void add_timed_out_members(const FleetState& fleet, const NodeRegistry& nodes, Instant now,
                             MembersCommand& change) const;
  bool add_joins_and_leaves(const FleetState& fleet, const NodeRegistry& nodes, Instant now,
                            MembersCommand& change) const;
  void record_removed_incarnations(const FleetState& fleet, const MembersCommand& change);

  Instant elected_at_;
  Revision handover_revision_ = 0;
  Instant handover_started_at_;
  std::optional<Instant> batch_started_at_;
  /// Removed processes. One that runs comes back as another member; until it does, late reports
  /// about it count for nothing.
  std::set<std::uint64_t> removed_incarnations_;
};

}  // namespace gorsevalve
