/// Accepts connections up to a limit, which leaves file descriptors for other listeners, outgoing
/// connections and files. Accepting pauses at the limit and when the process has no free
/// descriptor; pending connections stay in the backlog of the kernel.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "model/endpoint.h"
#include "tasks/event_loop.h"

namespace gorsevalve {

/// Connection limit of a listener that may use this share of the open-file limit of the process.
std::size_t max_connections_for_share(double share);

class Listener {
 public:
  /// Takes ownership of an accepted connection.
  using Acceptor = std::function<void(h2o_socket_t*)>;

  /// Delay before accepting is retried after the process ran out of descriptors.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

  /// Errors name the address. `max_connections` limits open connections.
  static tl::expected<std::unique_ptr<Listener>, std::string> open(EventLoop& loop,
                                                                   const Endpoint& address,
                                                                   std::size_t max_connections,
                                                                   Acceptor acceptor);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] std::size_t connections() const { return state_->connections; }
  /// Number of times that accepting paused.
  [[nodiscard]] std::uint64_t pauses() const { return pauses_; }

 private:
  /// Shared with the connections, which may outlive the listener.
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
