/// Opens connections to targets and closes them again, to see whether anything listens there. What
/// follows from it is decided by core/steering/target_reachability.
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
  /// Tells what became of a probe; a probe without an answer is never told of.
  using Callback = std::function<void(std::uint64_t number, ProbeAnswer answer)>;

  /// A probe is given up after this time: a suspicion is decided or dropped by then.
  static constexpr Duration kTimeout = std::chrono::milliseconds(500);
  /// Connections that are being opened at once: five for each suspicion, and some for targets that
  /// may be back.
  static constexpr std::size_t kMaxOpen = 6 * TargetReachability::kMaxSuspicions;

  TargetProber(EventLoop& loop, Callback callback);
  ~TargetProber();
  TargetProber(const TargetProber&) = delete;
  TargetProber& operator=(const TargetProber&) = delete;

  /// False when the probe cannot be sent: too many are under way, or there is no descriptor.
  bool send(std::uint64_t number, const Endpoint& target);
  /// Gives up probes that have taken too long.
  void on_tick(Instant now);
  [[nodiscard]] std::uint64_t sent() const { return sent_; }

 private:
  /// A connection that is being opened.
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
