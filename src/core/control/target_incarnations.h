/// Which of two lives of a target is believed. A target may start again under the id that it had:
/// its counts then begin anew, and nothing of its earlier life holds any more. Pure functions, used
/// by the log's commands, by replicas that answer announcements, and by the leader's monitor. The
/// table of all cases: docs/design/target-lives.md.
#pragma once

#include "model/steering.h"

namespace gorsevalve {

/// A life beside the one that is known of the same target.
enum class IncarnationOrder : std::uint8_t {
  kEarlier = 0,
  kSame = 1,
  kLater = 2,
};

/// Orders lives of one target by their starts. One that doesn't tell its start counts as the
/// earliest: it may be a late copy of anything.
[[nodiscard]] IncarnationOrder compare_incarnations(TargetStart start, TargetStart known);

/// True when an announcement changes what is known of its target: it is not late, and says
/// something else, or begins another life. `known` is nullptr for a target that nothing is known
/// of.
[[nodiscard]] bool changes_registration(const RegisteredTarget& announced,
                                        const RegisteredTarget* known);

}  // namespace gorsevalve
