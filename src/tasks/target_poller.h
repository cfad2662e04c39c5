/// Polls the health endpoints of targets and reports the results to a balancer.
#pragma once

#include <functional>
#include <vector>

#include "core/balancer/target_table.h"
#include "tasks/event_loop.h"
#include "tasks/http_client.h"

namespace gorsevalve {

/// Parses the body of a health endpoint: {"healthy": bool, "connections": n, "running": n}. Empty
/// if the body has another form.
std::optional<TargetReport> parse_target_report(const Endpoint& target, const std::string& body);

class TargetPoller {
 public:
  using Sink = std::function<void(const TargetReport&)>;

  /// Calls `sink` with the result of each poll, on the thread of the loop.
  TargetPoller(EventLoop& loop, Sink sink);

  /// Polls each target once.
  void poll(const std::vector<Target>& targets);

  static constexpr Duration kInterval = std::chrono::milliseconds(500);
  static constexpr Duration kTimeout = std::chrono::milliseconds(400);

 private:
  HttpClient client_;
  Sink sink_;
};

}  // namespace gorsevalve
