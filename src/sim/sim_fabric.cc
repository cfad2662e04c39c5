#include "sim/sim_fabric.h"

#include <vector>

namespace gorsevalve {

void SimFabric::announce(const Endpoint& balancer, bool live) {
  events_.after(kUpdateDelay, [this, balancer, live] { live_by_balancer_[balancer] = live; });
}

std::optional<Endpoint> SimFabric::pick_balancer() {
  std::vector<Endpoint> live;
  for (const auto& [balancer, is_live] : live_by_balancer_) {
    if (is_live) {
      live.push_back(balancer);
    }
  }
  if (live.empty()) {
    return std::nullopt;
  }
  return live[random_.below(live.size())];
}

}  // namespace gorsevalve
