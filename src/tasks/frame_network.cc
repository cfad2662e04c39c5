#include "tasks/frame_network.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <iterator>
#include <utility>

#include "codec/envelope.h"
#include "tasks/dial_attempts.h"
#include "tasks/log.h"
#include "tasks/socket_address.h"

namespace gorsevalve {
namespace {

constexpr std::size_t kLengthSize = 4;
/// Limit of queued bytes per connection.
constexpr std::size_t kMaxQueuedBytes = 2 * kMaxEnvelopeSize;
/// Share of the file descriptors for connections of peers. Together with the share of the HTTP
/// server it leaves a tenth for outgoing connections and files.
constexpr double kDescriptorShare = 0.35;
/// A connection is closed if frames were sent and nothing was received for this long.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(1500);
/// TCP_USER_TIMEOUT: time limit for the acknowledgement of sent data.
constexpr unsigned kUserTimeoutMs = 2000;
/// Minimum interval between log lines about dropped frames.
constexpr Duration kDropLogInterval = std::chrono::seconds(1);
constexpr int kIdleChecksPerTimeout = 4;

void set_user_timeout(h2o_socket_t* socket) {
  const int descriptor = h2o_socket_get_fd(socket);
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof(kUserTimeoutMs));
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Bytes add_length_prefix(const Bytes& frame) {
  const std::uint32_t length = htonl(static_cast<std::uint32_t>(frame.size()));
  Bytes out(kLengthSize);
  std::memcpy(out.data(), &length, kLengthSize);
  out.insert(out.end(), frame.begin(), frame.end());
  return out;
}

}  // namespace

struct FrameNetwork::Connection {
  [[nodiscard]] bool is_closed() const { return socket == nullptr; }

  FrameNetwork* network = nullptr;
  /// nullptr after the connection was closed.
  h2o_socket_t* socket = nullptr;
  bool connected = false;
  /// When the connection attempt started.
  Instant dialled_at;
  std::optional<Endpoint> peer;
  FrameQueue queue;
  bool writing = false;
  bool is_accepted = false;
  /// When the last frame was received, or the connection was created.
  Instant last_received_at;
  /// When the first frame was sent since the last one was received.
  std::optional<Instant> unanswered_since;
};

void FrameNetwork::FrameQueue::push(Bytes frame, Instant now) {
  total_bytes += frame.size();
  frames.push_back(std::move(frame));
  last_queued_at = now;
}

void FrameNetwork::FrameQueue::pop() {
  total_bytes -= frames.front().size();
  frames.pop_front();
}

void FrameNetwork::FrameQueue::append(FrameQueue later) {
  std::move(later.frames.begin(), later.frames.end(), std::back_inserter(frames));
  total_bytes += later.total_bytes;
  last_queued_at = std::max(last_queued_at, later.last_queued_at);
}

FrameNetwork::FrameNetwork(EventLoop& loop, Receiver receiver, Duration idle_timeout)
    : loop_(loop), receiver_(std::move(receiver)), idle_timeout_(idle_timeout) {}

FrameNetwork::~FrameNetwork() {
  while (!connections_.empty()) {
    close(*connections_.front());
  }
}

tl::expected<void, std::string> FrameNetwork::listen(const Endpoint& address) {
  auto listener = Listener::open(loop_, address, max_connections_for_share(kDescriptorShare),
                                 [this](h2o_socket_t* socket) { on_accepted(socket); });
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  listener_ = std::move(*listener);
  close_idle();
  return {};
}

void FrameNetwork::on_accepted(h2o_socket_t* socket) {
  Connection* connection = add_connection(socket);
  connection->connected = true;
  connection->is_accepted = true;
  h2o_socket_read_start(socket, [](h2o_socket_t* raw, const char* error) {
    auto* found = static_cast<Connection*>(raw->data);
    found->network->on_read(*found, error);
  });
}

FrameNetwork::Connection* FrameNetwork::add_connection(h2o_socket_t* socket) {
  auto connection = std::make_unique<Connection>();
  connection->network = this;
  connection->socket = socket;
  connection->last_received_at = monotonic_now();
  socket->data = connection.get();
  set_user_timeout(socket);
  connections_.push_back(std::move(connection));
  return connections_.back().get();
}

void FrameNetwork::dial(const Endpoint& to) {
  sockaddr_in raw = to_sockaddr(to);
  h2o_socket_t* socket =
      h2o_socket_connect(loop_.raw(), reinterpret_cast<sockaddr*>(&raw), sizeof(raw),
                         [](h2o_socket_t* connected, const char* error) {
                           auto* found = static_cast<Connection*>(connected->data);
                           found->network->on_connected(*found, error);
                         });
  if (socket == nullptr) {
    return;
  }
  Connection* connection = add_connection(socket);
  connection->peer = to;
  connection->dialled_at = monotonic_now();
  by_peer_[to] = connection;
  schedule_redial(to);
}

void FrameNetwork::schedule_redial(const Endpoint& to) {
  loop_.after(dialling::kNextAttemptDelay, [this, to, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      redial(to);
    }
  });
}

void FrameNetwork::redial(const Endpoint& to) {
  const Instant now = monotonic_now();
  const auto found = by_peer_.find(to);
  Connection* latest = found == by_peer_.end() ? nullptr : found->second;
  if (latest != nullptr &&
      (latest->connected || !dialling::needs_another_attempt(latest->dialled_at, now))) {
    redial_queues_.erase(to);
    return;
  }
  FrameQueue& queued = latest == nullptr ? redial_queues_[to] : latest->queue;
  FrameQueue frames;
  if (!queued.frames.empty() && now - queued.last_queued_at <= dialling::kRetryWindow) {
    frames = std::exchange(queued, {});
  }
  redial_queues_.erase(to);
  if (frames.frames.empty()) {
    return;
  }
  close_expired_attempts(to, now);
  dial(to);
  // The latest attempt holds all frames. An earlier one that succeeds takes them over.
  if (const auto dialled = by_peer_.find(to); dialled != by_peer_.end()) {
    dialled->second->queue = std::move(frames);
  }
}

void FrameNetwork::on_connected(Connection& connection, const char* error) {
  if (error != nullptr) {
    on_connect_failed(connection);
    return;
  }
  connection.connected = true;
  replace_later_attempt(connection);
  h2o_socket_read_start(connection.socket, [](h2o_socket_t* socket, const char* read_error) {
    auto* found = static_cast<Connection*>(socket->data);
    found->network->on_read(*found, read_error);
  });
  write_next(connection);
}

void FrameNetwork::on_connect_failed(Connection& connection) {
  const Endpoint peer = *connection.peer;
  const auto latest = by_peer_.find(peer);
  if (latest != by_peer_.end() && latest->second == &connection) {
    redial_queues_[peer] = std::move(connection.queue);
    schedule_redial(peer);
  }
  close(connection);
}

void FrameNetwork::on_read(Connection& connection, const char* error) {
  if (error != nullptr || !read_frames(connection)) {
    close(connection);
  }
}

bool FrameNetwork::read_frames(Connection& connection) {
  while (connection.socket->input->size >= kLengthSize) {
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(connection.socket->input->bytes);
    std::uint32_t length = 0;
    std::memcpy(&length, bytes, kLengthSize);
    length = ntohl(length);
    if (length > kMaxEnvelopeSize) {
      return false;
    }
    if (connection.socket->input->size < kLengthSize + length) {
      return true;
    }
    const Bytes frame(bytes + kLengthSize, bytes + kLengthSize + length);
    h2o_buffer_consume(&connection.socket->input, kLengthSize + length);
    connection.unanswered_since.reset();
    connection.last_received_at = monotonic_now();
    const std::optional<Endpoint> sender = receiver_(frame);
    if (!sender) {
      return false;
    }
    if (connection.is_closed()) {
      return true;
    }
    if (connection.peer != sender || by_peer_[*sender] != &connection) {
      connection.peer = sender;
      by_peer_[*sender] = &connection;
    }
  }
  return true;
}

bool FrameNetwork::send(const Endpoint& to, const Bytes& frame, bool may_dial) {
  const Instant now = monotonic_now();
  Connection* found = find_live(to, now);
  if (found == nullptr && may_dial) {
    dial(to);
    found = find_live(to, now);
  }
  if (found == nullptr) {
    ++counters_.dropped_without_connection;
    log_drop(to, "no_connection");
    return false;
  }
  Connection& connection = *found;
  connection.unanswered_since = connection.unanswered_since.value_or(now);
  if (connection.queue.total_bytes + frame.size() > kMaxQueuedBytes) {
    ++counters_.dropped_queue_full;
    log_drop(to, "full");
    return false;
  }
  connection.queue.push(add_length_prefix(frame), now);
  write_next(connection);
  return true;
}

FrameNetwork::Connection* FrameNetwork::find_live(const Endpoint& to, Instant now) {
  const auto found = by_peer_.find(to);
  if (found == by_peer_.end()) {
    return nullptr;
  }
  Connection& connection = *found->second;
  if (!connection.connected && dialling::needs_another_attempt(connection.dialled_at, now)) {
    close_expired_attempts(to, now);
    return nullptr;
  }
  if (connection.unanswered_since && now - *connection.unanswered_since > kReplyTimeout) {
    ++counters_.connections_timed_out;
    log_event(LogEvent::kConnectionGivenUp,
              {{"peer", to_string(to)}, {"frames_waiting", connection.queue.frames.size()}});
    close(connection);
    return nullptr;
  }
  return &connection;
}

void FrameNetwork::log_drop(const Endpoint& to, std::string_view reason) {
  const Instant now = monotonic_now();
  if (now - drop_logged_at_ < kDropLogInterval) {
    return;
  }
  drop_logged_at_ = now;
  log_event(LogEvent::kFramesDropped,
            {{"peer", to_string(to)},
             {"reason", reason},
             {"dropped", counters_.dropped_without_connection + counters_.dropped_queue_full}});
}

void FrameNetwork::close_expired_attempts(const Endpoint& to, Instant now) {
  std::vector<Connection*> expired;
  for (const auto& connection : connections_) {
    const bool is_attempt = !connection->connected && connection->peer == to;
    if (is_attempt && dialling::has_timed_out(connection->dialled_at, now)) {
      expired.push_back(connection.get());
    }
  }
  for (Connection* connection : expired) {
    close(*connection);
  }
}

void FrameNetwork::close_idle() {
  const Instant now = monotonic_now();
  std::vector<Connection*> idle;
  for (const auto& connection : connections_) {
    if (connection->is_accepted && now - connection->last_received_at >= idle_timeout_) {
      idle.push_back(connection.get());
    }
  }
  for (Connection* connection : idle) {
    ++counters_.idle_closed;
    close(*connection);
  }
  loop_.after(idle_timeout_ / kIdleChecksPerTimeout, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      close_idle();
    }
  });
}

void FrameNetwork::replace_later_attempt(Connection& connection) {
  Connection*& current = by_peer_[*connection.peer];
  if (current != nullptr && current != &connection && !current->connected) {
    // Frames queued there are newer than those here.
    connection.queue.append(std::move(current->queue));
    Connection* later = std::exchange(current, &connection);
    close(*later);
  }
  if (current == nullptr) {
    current = &connection;
  }
}

void FrameNetwork::disconnect(const Endpoint& peer) {
  const auto found = by_peer_.find(peer);
  if (found != by_peer_.end()) {
    close(*found->second);
  }
}

void FrameNetwork::write_next(Connection& connection) {
  if (!connection.connected || connection.writing || connection.queue.frames.empty()) {
    return;
  }
  connection.writing = true;
  Bytes& frame = connection.queue.frames.front();
  h2o_iovec_t part = h2o_iovec_init(frame.data(), frame.size());
  h2o_socket_write(connection.socket, &part, 1, [](h2o_socket_t* socket, const char* error) {
    auto* written = static_cast<Connection*>(socket->data);
    FrameNetwork* network = written->network;
    if (error != nullptr) {
      network->close(*written);
      return;
    }
    written->writing = false;
    written->queue.pop();
    network->write_next(*written);
  });
}

void FrameNetwork::close(Connection& connection) {
  if (connection.is_closed()) {
    return;
  }
  // A peer whose messages name another address than the dialled one is stored under both.
  std::erase_if(by_peer_, [&](const auto& entry) { return entry.second == &connection; });
  h2o_socket_close(std::exchange(connection.socket, nullptr));
  const auto position = std::find_if(connections_.begin(), connections_.end(),
                                     [&](const auto& one) { return one.get() == &connection; });
  closed_.splice(closed_.end(), connections_, position);
  if (closed_.size() > 1) {
    return;
  }
  loop_.after(Duration::zero(), [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      closed_.clear();
    }
  });
}

}  // namespace gorsevalve
