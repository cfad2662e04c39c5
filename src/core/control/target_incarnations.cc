#include "core/control/target_incarnations.h"

namespace gorsevalve {
namespace {

bool is_same_registration(const RegisteredTarget& announced, const RegisteredTarget& known) {
  // The remaining warm-up time is ignored, which limits the log to two entries per warm-up. An
  // increase means that the target started to warm up again.
  const bool has_same_warm_up = (known.warm_up_ms == 0) == (announced.warm_up_ms == 0) &&
                                announced.warm_up_ms <= known.warm_up_ms;
  const bool has_same_location = known.pool == announced.pool &&
                                 known.address == announced.address && known.zone == announced.zone;
  return has_same_location && known.phase == announced.phase && known.slots == announced.slots &&
         has_same_warm_up;
}

bool changes_within_incarnation(const RegisteredTarget& announced, const RegisteredTarget& known) {
  const bool is_late = announced.sequence <= known.sequence;
  if (known.has_ended() || is_late || is_same_registration(announced, known)) {
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
  // A target whose clock was set back restarts with an earlier start time. It is accepted only
  // while the known incarnation is silent: a late duplicate can then at most restore an
  // unresponsive target until the next timeout. A draining or ended phase was acknowledged, so a
  // late duplicate must not revert it.
  return known->phase == TargetPhase::kSilent;
}

}  // namespace gorsevalve
