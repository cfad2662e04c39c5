/// Messages over TCP between control replicas and balancers: sealed messages with a length before
/// each. A process is known by the address that its messages name; replies go over the connection
/// on which the peer was heard last, and replicas are dialled when there is none. A receiver may
/// call anything here but the destructor, also what closes the connection it was called from.
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

/// What became of frames and connections since the start.
struct FrameCounters {
  std::uint64_t dropped_without_connection = 0;
  std::uint64_t dropped_queue_full = 0;
  std::uint64_t connections_timed_out = 0;
  /// Accepted connections that were closed since nothing came over them.
  std::uint64_t idle_closed = 0;
};

class FrameNetwork {
 public:
  /// Handles one frame and gives the sender that it names, or nothing when it was not authentic;
  /// such a connection is closed.
  using Receiver = std::function<std::optional<Endpoint>(ByteView frame)>;

  /// A connection over which nothing came for this long is closed where it was accepted: of a peer
  /// that went without a word nothing else tells. Balancers at other replicas ask each 5 s at most,
  /// members each second.
  static constexpr Duration kIdleTimeout = std::chrono::seconds(30);

  FrameNetwork(EventLoop& loop, Receiver receiver, Duration idle_timeout = kIdleTimeout);
  ~FrameNetwork();
  FrameNetwork(const FrameNetwork&) = delete;
  FrameNetwork& operator=(const FrameNetwork&) = delete;

  /// Accepts connections at an address. The error names the address.
  tl::expected<void, std::string> listen(const Endpoint& address);

  /// Sends a frame. Without a connection one is dialled when `may_dial` is set, else the frame is
  /// dropped. A frame is dropped too when too much waits on the connection. False when it was
  /// dropped; true promises nothing, since the connection may end.
  bool send(const Endpoint& to, const Bytes& frame, bool may_dial);

  /// Closes the connection to a peer, if there is one.
  void disconnect(const Endpoint& peer);

  [[nodiscard]] const FrameCounters& counters() const { return counters_; }

 private:
  struct Connection;
  /// Frames that wait for a connection.
  struct FrameQueue {
    std::deque<Bytes> frames;
    std::size_t total_bytes = 0;
    /// When the latest one came.
    Instant last_queued_at;

    void push(Bytes frame, Instant now);
    void pop();
    /// Appends later frames.
    void append(FrameQueue later);
  };

  void on_accepted(h2o_socket_t* socket);
  void dial(const Endpoint& to);
  /// Dials again, a moment later, while frames wait that are not old.
  void schedule_redial(const Endpoint& to);
  void redial(const Endpoint& to);
  Connection* add_connection(h2o_socket_t* socket);
  void on_connected(Connection& connection, const char* error);
  /// Nobody listens at the peer's address.
  void on_connect_failed(Connection& connection);
  void on_read(Connection& connection, const char* error);
  void write_next(Connection& connection);
  /// Ends a connection for good; it is freed in a later turn of the loop, since a caller up the
  /// stack may still work on it.
  void close(Connection& connection);
  /// The connection to a peer, or the latest attempt; nullptr when there is none that is worth
  /// waiting for. One that has been silent for too long is closed.
  Connection* find_live(const Endpoint& to, Instant now);
  /// Writes a line about a dropped frame, at most one for each kDropLogInterval.
  void log_drop(const Endpoint& to, std::string_view reason);
  void close_expired_attempts(const Endpoint& to, Instant now);
  /// Closes accepted connections that have been idle for too long, again and again.
  void close_idle();
  /// An earlier attempt came through: it takes over from a later one.
  void replace_later_attempt(Connection& connection);
  [[nodiscard]] bool read_frames(Connection& connection);

  EventLoop& loop_;
  Receiver receiver_;
  Duration idle_timeout_;
  std::unique_ptr<Listener> listener_;
  std::list<std::unique_ptr<Connection>> connections_;
  /// Connections that were closed in this turn of the loop.
  std::list<std::unique_ptr<Connection>> closed_;
  /// The connection, or the latest attempt to connect, of each peer.
  std::map<Endpoint, Connection*> by_peer_;
  /// Frames for peers whose latest attempt was refused.
  std::map<Endpoint, FrameQueue> redial_queues_;
  FrameCounters counters_;
  Instant drop_logged_at_;
  /// Timers outlive the network; they hold this weakly.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gorsevalve
