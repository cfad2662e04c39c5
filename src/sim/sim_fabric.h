/// The fabric and the platform's list of machines: any datagram goes to any balancer that the list
/// names, and the list lags.
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

  /// The platform learns that a balancer is live, or that it leaves or is gone.
  void announce(const Endpoint& balancer, bool live);
  /// A balancer out of the list; nothing when the list is empty.
  [[nodiscard]] std::optional<Endpoint> pick_balancer();

  static constexpr Duration kUpdateDelay = std::chrono::milliseconds(1000);

 private:
  EventQueue& events_;
  SimRandom& random_;
  std::map<Endpoint, bool> live_by_balancer_;
};

}  // namespace gorsevalve
