#include "core/control/target_lives.h"

namespace gorsevalve {
namespace {

bool says_the_same(const RegisteredTarget& announced, const RegisteredTarget& known) {
  // Whether it is cold is news, not how much of the warm-up is left: two entries a warm-up. Where
  // more is left than before, it has turned cold again.
  const bool is_as_warm = (known.warm_up_ms == 0) == (announced.warm_up_ms == 0) &&
                          announced.warm_up_ms <= known.warm_up_ms;
  const bool is_same_place = known.pool == announced.pool && known.address == announced.address &&
                             known.zone == announced.zone;
  return is_same_place && known.phase == announced.phase && known.slots == announced.slots &&
         is_as_warm;
}

bool is_news_within_life(const RegisteredTarget& announced, const RegisteredTarget& known) {
  const bool is_late = announced.sequence <= known.sequence;
  if (known.phase == TargetPhase::kEnded || is_late || says_the_same(announced, known)) {
    return false;
  }
  const bool returns_from_draining =
      known.phase == TargetPhase::kDraining && announced.phase != TargetPhase::kDraining;
  return !returns_from_draining;
}

}  // namespace

LifeOrder compare_lives(TargetStart start, TargetStart known) {
  if (start == known) {
    return LifeOrder::kSame;
  }
  return start < known ? LifeOrder::kEarlier : LifeOrder::kLater;
}

bool is_news(const RegisteredTarget& announced, const RegisteredTarget* known) {
  if (known == nullptr) {
    return true;
  }
  switch (compare_lives(announced.started_at_ms, known->started_at_ms)) {
    case LifeOrder::kSame:
      return is_news_within_life(announced, *known);
    case LifeOrder::kLater:
      return true;
    case LifeOrder::kEarlier:
      break;
  }
  // A target whose clock was set back starts earlier than it did before. Its life is believed once
  // the known one has been silent: a late copy from before the known life could then only bring
  // back, for one silence, a target that nobody gets an answer from. Where the known life said that
  // it leaves or has ended, that was acknowledged, and a late copy must not undo it.
  return known->phase == TargetPhase::kSilent;
}

}  // namespace gorsevalve
