/// Listens for connections and accepts so many at a time that descriptors are left for everything
/// else: other listeners, connections of our own, files. At the bound, and when the process has no
/// descriptor left, accepting pauses; those who wait in the kernel's queue are served later.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "model/endpoint.h"
#include "tasks/event_loop.h"

namespace gorsevalve {

/// Connections that one listener may hold when it gets this share of the descriptors that the
/// process may open.
std::size_t max_connections_for_share(double share);

class Listener {
 public:
  /// Takes an accepted connection over.
  using Acceptor = std::function<void(h2o_socket_t*)>;

  /// Pause before accepting is tried again when there was no descriptor.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

  /// The error names the address. `max_connections` counts those that are not closed.
  static tl::expected<std::unique_ptr<Listener>, std::string> open(EventLoop& loop,
                                                                   const Endpoint& address,
                                                                   std::size_t max_connections,
                                                                   Acceptor acceptor);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] std::size_t connections() const { return state_->connections; }
  /// How often accepting paused.
  [[nodiscard]] std::uint64_t pauses() const { return pauses_; }

 private:
  /// Outlives the listener while connections do.
  struct State {
    std::size_t connections = 0;
    Listener* listener = nullptr;
  };

  Listener(EventLoop& loop, h2o_socket_t* socket, std::size_t max_connections, Acceptor acceptor);
  void start();
  void on_readable();
  void pause();
  void resume();
  void log_pause();
  void on_accepted(h2o_socket_t* accepted);
  static void on_connection_closed(void* raw);

  EventLoop& loop_;
  h2o_socket_t* socket_;
  std::size_t max_connections_;
  Acceptor acceptor_;
  std::shared_ptr<State> state_ = std::make_shared<State>();
  bool is_paused_ = false;
  std::uint64_t pauses_ = 0;
  Instant pause_logged_at_;
};

}  // namespace gorsevalve
