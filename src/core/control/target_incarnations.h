/// Order of target incarnations. A target may restart under the same id; its sequence numbers then
/// start again, and the registration of the earlier incarnation is obsolete. Pure functions, used
/// by log commands, by replicas that check announcements, and by the leader's monitor. All cases:
/// docs/design/target-incarnations.md.
#pragma once

#include "model/steering.h"

namespace gorsevalve {

/// Position of an incarnation relative to the known one of the same target.
enum class IncarnationOrder : std::uint8_t {
  kEarlier = 0,
  kSame = 1,
  kLater = 2,
};

/// Orders incarnations of one target by start time. An unknown start time (0) is the earliest,
/// because the message may be a late duplicate from any incarnation.
[[nodiscard]] IncarnationOrder compare_incarnations(TargetStart start, TargetStart known);

/// Returns true if an announcement changes the registration of its target: it is no late duplicate,
/// and differs from the registration or starts another incarnation. `known` is nullptr for an
/// unknown target.
[[nodiscard]] bool changes_registration(const RegisteredTarget& announced,
                                        const RegisteredTarget* known);

}  // namespace gorsevalve
