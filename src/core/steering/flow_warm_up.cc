/// FlowSteering's updates of the warm-up budget when targets or settings change.
#include <algorithm>
#include <utility>

#include "core/steering/flow_steering.h"

namespace gorsevalve {

void FlowSteering::update_warm_up(const RegisteredTarget& target, bool is_age_known, Instant now) {
  const double rate = view_.cold_flows_per_s(target.pool);
  const TargetScore* score = scores_.find(target.id);
  const bool is_cold = rate > 0 && score != nullptr && now < score->warm_at;
  if (!is_cold || target.has_ended()) {
    warm_up_.remove(target.id);
    return;
  }
  if (warm_up_.add({target.id, target.token, rate, score->warm_at, is_age_known}, now)) {
    newly_cold_.push_back(target.id);
  }
}

void FlowSteering::update_cold_rates() {
  warm_up_.update_rates([this](TargetId id) {
    const RegisteredTarget* target = view_.target_by_id(id);
    return target == nullptr ? 0 : view_.cold_flows_per_s(target->pool);
  });
}

std::vector<TargetId> FlowSteering::take_newly_cold() {
  std::sort(newly_cold_.begin(), newly_cold_.end());
  return std::exchange(newly_cold_, {});
}

}  // namespace gorsevalve
