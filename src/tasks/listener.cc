#include "tasks/listener.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "tasks/log.h"
#include "tasks/socket_address.h"

namespace gorsevalve {
namespace {

/// Used if the open-file limit is unknown or unlimited: the usual soft limit on Linux.
constexpr rlim_t kDefaultDescriptorLimit = 1024;
/// Minimum interval between log lines.
constexpr Duration kPauseLogInterval = std::chrono::seconds(1);

}  // namespace

std::size_t max_connections_for_share(double share) {
  rlimit limit{};
  const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  const rlim_t descriptors = is_known ? limit.rlim_cur : kDefaultDescriptorLimit;
  const auto connections = static_cast<std::size_t>(static_cast<double>(descriptors) * share);
  return std::max<std::size_t>(connections, 1);
}

tl::expected<std::unique_ptr<Listener>, std::string> Listener::open(EventLoop& loop,
                                                                    const Endpoint& address,
                                                                    std::size_t max_connections,
                                                                    Acceptor acceptor) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in raw = to_sockaddr(address);
  const bool bound =
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0 &&
      ::listen(descriptor, SOMAXCONN) == 0;
  if (!bound) {
    const std::string message = "listen " + to_string(address) + ": " + std::strerror(errno);
    ::close(descriptor);
    return tl::unexpected(message);
  }
  h2o_socket_t* socket =
      h2o_evloop_socket_create(loop.raw(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
  std::unique_ptr<Listener> listener(
      new Listener(loop, socket, max_connections, std::move(acceptor)));
  listener->start();
  return listener;
}

Listener::Listener(EventLoop& loop, h2o_socket_t* socket, std::size_t max_connections,
                   Acceptor acceptor)
    : loop_(loop),
      socket_(socket),
      max_connections_(max_connections),
      acceptor_(std::move(acceptor)) {
  state_->listener = this;
  socket_->data = this;
}

Listener::~Listener() {
  state_->listener = nullptr;
  h2o_socket_close(socket_);
}

void Listener::start() {
  h2o_socket_read_start(socket_, [](h2o_socket_t* socket, const char* /*error*/) {
    static_cast<Listener*>(socket->data)->on_readable();
  });
}

void Listener::on_readable() {
  while (state_->connections < max_connections_) {
    errno = 0;
    h2o_socket_t* accepted = h2o_evloop_socket_accept(socket_);
    if (accepted != nullptr) {
      on_accepted(accepted);
      continue;
    }
    const bool has_no_descriptor = errno == EMFILE || errno == ENFILE || errno == ENOMEM;
    if (has_no_descriptor) {
      // The socket stays readable: retrying without a delay would busy-loop.
      pause();
      loop_.after(kRetryDelay, [weak = std::weak_ptr<State>(state_)] {
        const auto state = weak.lock();
        if (state != nullptr && state->listener != nullptr) {
          state->listener->resume();
        }
      });
    }
    return;
  }
  // Accepting resumes when a connection closes.
  pause();
}

void Listener::pause() {
  if (is_paused_) {
    return;
  }
  is_paused_ = true;
  ++pauses_;
  h2o_socket_read_stop(socket_);
  log_pause();
}

void Listener::log_pause() {
  const Instant now = monotonic_now();
  if (now - pause_logged_at_ < kPauseLogInterval) {
    return;
  }
  pause_logged_at_ = now;
  log_event(LogEvent::kAcceptingPaused, {{"connections", state_->connections},
                                         {"most_connections", max_connections_},
                                         {"pauses", pauses_}});
}

void Listener::resume() {
  if (is_paused_ && state_->connections < max_connections_) {
    is_paused_ = false;
    start();
  }
}

void Listener::on_accepted(h2o_socket_t* accepted) {
  ++state_->connections;
  accepted->on_close.cb = &Listener::on_connection_closed;
  accepted->on_close.data = new std::shared_ptr<State>(state_);
  acceptor_(accepted);
}

void Listener::on_connection_closed(void* raw) {
  const std::unique_ptr<std::shared_ptr<State>> state(static_cast<std::shared_ptr<State>*>(raw));
  --(*state)->connections;
  if ((*state)->listener != nullptr) {
    (*state)->listener->resume();
  }
}

}  // namespace gorsevalve
