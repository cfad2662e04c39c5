#include "core/control/target_incarnations.h"

namespace gorsevalve {
namespace {

bool is_same_registration(const RegisteredTarget& announced, const RegisteredTarget& known) {
  // Whether it is cold is news, not how much of the warm-up is left: two entries a warm-up. Where
  // more is left than before, it has turned cold again.
  const bool is_as_warm = (known.warm_up_ms == 0) == (announced.warm_up_ms == 0) &&
                          announced.warm_up_ms <= known.warm_up_ms;
  const bool is_same_place = known.pool == announced.pool && known.address == announced.address &&
                             known.zone == announced.zone;
  return is_same_place && known.phase == announced.phase && known.slots == announced.slots &&
         is_as_warm;
}

bool changes_within_incarnation(const RegisteredTarget& announced, const RegisteredTarget& known) {
  const bool is_late = announced.sequence <= known.sequence;
  if (known.phase == TargetPhase::kEnded || is_late || is_same_registration(announced, known)) {
    return false;
  }
  const bool returns_from_draining =
      known.phase == TargetPhase::kDraining && announced.phase != TargetPhase::kDraining;
  return !returns_from_draining;
}

}  // namespace

IncarnationOrder compare_incarnations(TargetStart start, TargetStart known) {
  if (start == known) {
    return IncarnationOrder::kSame;
  }
  return start < known ? IncarnationOrder::kEarlier : IncarnationOrder::kLater;
}

bool changes_registration(const RegisteredTarget& announced, const RegisteredTarget* known) {
  if (known == nullptr) {
    return true;
  }
  switch (compare_incarnations(announced.started_at_ms, known->started_at_ms)) {
    case IncarnationOrder::kSame:
      return changes_within_incarnation(announced, *known);
    case IncarnationOrder::kLater:
      return true;
    case IncarnationOrder::kEarlier:
      break;
  }
  // A target whose clock was set back starts earlier than it did before. Its life is believed once
  // the known one has been silent: a late copy from before the known life could then only bring
  // back, for one silence, a target that nobody gets an answer from. Where the known life said that
  // it leaves or has ended, that was acknowledged, and a late copy must not undo it.
  return known->phase == TargetPhase::kSilent;
}

}  // namespace gorsevalve
