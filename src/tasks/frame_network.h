/// Length-prefixed authenticated messages over TCP between control replicas and balancers. A peer
/// is identified by the address in its messages. Replies use the connection that last received a
/// message from the peer; replicas are dialled if there is none. A receiver may call any method
/// except the destructor, including one that closes the connection of the frame.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "model/bytes.h"
#include "model/endpoint.h"
#include "tasks/event_loop.h"
#include "tasks/listener.h"

namespace gorsevalve {

/// Counters since the start.
struct FrameCounters {
  std::uint64_t dropped_without_connection = 0;
  std::uint64_t dropped_queue_full = 0;
  std::uint64_t connections_timed_out = 0;
  /// Accepted connections that were closed after the idle timeout.
  std::uint64_t idle_closed = 0;
};

class FrameNetwork {
 public:
  /// Handles one frame and returns the sender that it names, or nothing if it is not authentic; the
  /// connection is then closed.
  using Receiver = std::function<std::optional<Endpoint>(ByteView frame)>;

  /// An accepted connection is closed if nothing was received for this long, because a peer may
  /// vanish without closing it. Balancers send heartbeats at least every 5 s.
  static constexpr Duration kIdleTimeout = std::chrono::seconds(30);

  FrameNetwork(EventLoop& loop, Receiver receiver, Duration idle_timeout = kIdleTimeout);
  ~FrameNetwork();
  FrameNetwork(const FrameNetwork&) = delete;
  FrameNetwork& operator=(const FrameNetwork&) = delete;

  /// Accepts connections at an address. Errors name the address.
  tl::expected<void, std::string> listen(const Endpoint& address);

  /// Sends a frame. If there is no connection, one is dialled if `may_dial` is set. Returns false
  /// if the frame was dropped: no connection, or its queue is full. True does not guarantee
  /// delivery.
  bool send(const Endpoint& to, const Bytes& frame, bool may_dial);

  /// Closes the connection to a peer, if any.
  void disconnect(const Endpoint& peer);

  [[nodiscard]] const FrameCounters& counters() const { return counters_; }

 private:
  struct Connection;
  /// Frames queued for a connection.
  struct FrameQueue {
    std::deque<Bytes> frames;
    std::size_t total_bytes = 0;
    /// When the newest frame was queued.
    Instant last_queued_at;

    void push(Bytes frame, Instant now);
    void pop();
    /// Appends newer frames.
    void append(FrameQueue later);
  };

  void on_accepted(h2o_socket_t* socket);
  void dial(const Endpoint& to);
  /// Schedules another attempt, made only if recent frames are still queued.
  void schedule_redial(const Endpoint& to);
  void redial(const Endpoint& to);
  Connection* add_connection(h2o_socket_t* socket);
  void on_connected(Connection& connection, const char* error);
  /// Closes a failed attempt. If it was the latest one, its frames are kept for another attempt.
  void on_connect_failed(Connection& connection);
  void on_read(Connection& connection, const char* error);
  void write_next(Connection& connection);
  /// Closes a connection. It is freed in a later iteration of the loop, because callers on the
  /// stack may still use it.
  void close(Connection& connection);
  /// The connection to a peer, or the latest attempt; nullptr if there is none or it timed out. A
  /// timed-out connection is closed.
  Connection* find_live(const Endpoint& to, Instant now);
  /// Logs a dropped frame, at most once per kDropLogInterval.
  void log_drop(const Endpoint& to, std::string_view reason);
  void close_expired_attempts(const Endpoint& to, Instant now);
  /// Closes idle accepted connections and schedules the next check.
  void close_idle();
  /// Makes a successful earlier attempt the connection of the peer, and closes the later attempt.
  void replace_later_attempt(Connection& connection);
  [[nodiscard]] bool read_frames(Connection& connection);

  EventLoop& loop_;
  Receiver receiver_;
  Duration idle_timeout_;
  std::unique_ptr<Listener> listener_;
  std::list<std::unique_ptr<Connection>> connections_;
  /// Closed connections that are freed in the next iteration of the loop.
  std::list<std::unique_ptr<Connection>> closed_;
  /// The connection or the latest attempt of each peer.
  std::map<Endpoint, Connection*> by_peer_;
  /// Frames of failed attempts, kept for the next attempt.
  std::map<Endpoint, FrameQueue> redial_queues_;
  FrameCounters counters_;
  Instant drop_logged_at_;
  /// Timers may outlive the network; they hold a weak pointer.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gorsevalve
