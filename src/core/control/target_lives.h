/// Which of two lives of a target is believed. A target may start again under the id that it had:
/// its counts then begin anew, and nothing of its earlier life holds any more. Pure functions, used
/// by the log's commands, by replicas that answer announcements, and by the leader's monitor. The
/// table of all cases: docs/design/target-lives.md.
#pragma once

#include "model/steering.h"

namespace gorsevalve {

/// A life beside the one that is known of the same target.
enum class LifeOrder : std::uint8_t {
  kEarlier = 0,
  kSame = 1,
  kLater = 2,
};

/// Orders lives of one target by their starts. One that doesn't tell its start counts as the
/// earliest: it may be a late copy of anything.
[[nodiscard]] LifeOrder compare_lives(TargetStart start, TargetStart known);

/// What an announcement changes beside what is known of its target.
enum class AnnouncementNews : std::uint8_t {
  /// It is late, or says nothing that is not known.
  kNone = 0,
  /// The known life says something else of itself.
  kChange = 1,
  /// Another life begins: nothing that is known of the earlier one holds.
  kNewLife = 2,
};

/// `known` is nullptr for a target that nothing is known of.
[[nodiscard]] AnnouncementNews news_of(const RegisteredTarget& announced,
                                       const RegisteredTarget* known);

}  // namespace gorsevalve
