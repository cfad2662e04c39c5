/// Probes targets: opens a TCP connection and closes it, to find out whether the target listens.
/// core/steering/target_reachability evaluates the results.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "core/steering/target_reachability.h"
#include "model/endpoint.h"
#include "tasks/event_loop.h"

namespace gorsevalve {

class TargetProber {
 public:
  /// Reports the result of a probe. Not called for probes that time out.
  using Callback = std::function<void(std::uint64_t number, ProbeAnswer answer)>;

  /// Timeout of a probe: a suspicion is decided or dropped by then.
  static constexpr Duration kTimeout = std::chrono::milliseconds(500);
  /// Limit of concurrent probes: five per suspicion, and some for targets that may have recovered.
  static constexpr std::size_t kMaxOpen = 6 * TargetReachability::kMaxSuspicions;

  TargetProber(EventLoop& loop, Callback callback);
  ~TargetProber();
  TargetProber(const TargetProber&) = delete;
  TargetProber& operator=(const TargetProber&) = delete;

  /// False if the probe cannot be sent: too many are in flight, or there is no file descriptor.
  bool send(std::uint64_t number, const Endpoint& target);
  /// Closes probes that have timed out.
  void on_tick(Instant now);
  [[nodiscard]] std::uint64_t sent() const { return sent_; }

 private:
  /// A connection attempt.
  struct Probe {
    TargetProber* prober = nullptr;
    std::uint64_t number = 0;
    h2o_socket_t* socket = nullptr;
    Instant since;
  };

  static void on_connected(h2o_socket_t* socket, const char* error);
  void close(std::uint64_t number);

  EventLoop& loop_;
  Callback callback_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Probe>> open_;
  std::uint64_t sent_ = 0;
};

}  // namespace gorsevalve
