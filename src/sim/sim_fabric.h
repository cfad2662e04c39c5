/// Network fabric and the platform's list of balancers: each datagram goes to a random listed
/// balancer. List updates take effect with a delay.
#pragma once

#include <map>
#include <optional>

#include "model/endpoint.h"
#include "sim/event_queue.h"
#include "sim/sim_random.h"

namespace gorsevalve {

class SimFabric {
 public:
  SimFabric(EventQueue& events, SimRandom& random) : events_(events), random_(random) {}

  /// Adds a balancer to the list or removes it, after kUpdateDelay.
  void announce(const Endpoint& balancer, bool live);
  /// Returns a random listed balancer; nullopt when the list is empty.
  [[nodiscard]] std::optional<Endpoint> pick_balancer();

  static constexpr Duration kUpdateDelay = std::chrono::milliseconds(1000);

 private:
  EventQueue& events_;
  SimRandom& random_;
  std::map<Endpoint, bool> live_by_balancer_;
};

}  // namespace gorsevalve
