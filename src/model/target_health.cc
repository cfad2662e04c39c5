#include "model/target_health.h"

#include <algorithm>

namespace gorsevalve {
namespace {

std::vector<FlowToken> tokens_where(const std::vector<TargetHealth>& entries,
                                    bool TargetHealth::*property) {
  std::vector<FlowToken> tokens;
  for (const auto& entry : entries) {
    if (entry.*property) {
      tokens.push_back(entry.token);
    }
  }
  std::sort(tokens.begin(), tokens.end());
  return tokens;
}

}  // namespace

std::vector<FlowToken> TargetHealthUpdate::unhealthy() const {
  return tokens_where(targets, &TargetHealth::is_unhealthy);
}

std::vector<FlowToken> TargetHealthUpdate::unreachable() const {
  return tokens_where(targets, &TargetHealth::is_unreachable);
}

}  // namespace gorsevalve
