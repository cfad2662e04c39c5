/// Decides at the leader which balancers join, leave and are removed from the members, and when.
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
  /// Resets the state of an earlier leadership. No member is removed until kMemberTimeout has
  /// passed, so that nodes can report first.
  void on_elected(Instant now);

  /// Returns the next membership change, or nothing. Timed-out members are removed at once. Joins
  /// and planned leaves wait until the handovers of the previous change are complete, so state
  /// moves one change at a time.
  [[nodiscard]] std::optional<MembersCommand> next_change(const FleetState& fleet,
                                                          const NodeRegistry& nodes, Instant now);

  /// Leaving members that can stop safely: they have handed over, and every other member has
  /// completed its handovers.
  [[nodiscard]] static std::vector<Endpoint> members_safe_to_stop(const FleetState& fleet,
                                                                  const NodeRegistry& nodes);

  /// True when every member has completed the handovers of the current members revision.
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
  /// Incarnations of removed processes. A removed process that still runs rejoins as a new
  /// incarnation; late reports about the old one are ignored.
  std::set<std::uint64_t> removed_incarnations_;
};

}  // namespace gorsevalve
