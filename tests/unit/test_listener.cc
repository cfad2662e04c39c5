#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <vector>

#include "free_endpoint.h"
#include "tasks/http_server.h"
#include "tasks/listener.h"
#include "tasks/socket_address.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// Clients that open connections and send nothing.
class IdleClients {
 public:
  explicit IdleClients(Endpoint server) : server_(server) {}
  ~IdleClients() { close_all(); }
  IdleClients(const IdleClients&) = delete;
  IdleClients& operator=(const IdleClients&) = delete;

  void open(int count) {
    for (int i = 0; i < count; ++i) {
      const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      REQUIRE(descriptor >= 0);
      const sockaddr_in raw = to_sockaddr(server_);
      const int result =
          ::connect(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
      REQUIRE((result == 0 || errno == EINPROGRESS));
      descriptors_.push_back(descriptor);
    }
  }
  void close_all() {
    for (const int descriptor : descriptors_) {
      ::close(descriptor);
    }
    descriptors_.clear();
  }

 private:
  Endpoint server_;
  std::vector<int> descriptors_;
};

/// Prevents new file descriptors by lowering the open-file limit to those in use.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    const int next = ::dup(0);
    ::close(next);
    rlimit lowered = before_;
    lowered.rlim_cur = static_cast<rlim_t>(next);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  ~DescriptorExhaustion() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  DescriptorExhaustion(const DescriptorExhaustion&) = delete;
  DescriptorExhaustion& operator=(const DescriptorExhaustion&) = delete;

 private:
  rlimit before_{};
};

/// Runs the loop until `holds` returns true, for a limited number of iterations.
template <typename Condition>
bool run_until(EventLoop& loop, Condition holds) {
  constexpr int kMaxIterations = 200;
  for (int iteration = 0; iteration < kMaxIterations && !holds(); ++iteration) {
    loop.run_once(std::chrono::milliseconds(50));
  }
  return holds();
}

/// Number of loop iterations within `time`; low if the loop only waits.
int loop_iterations_in(EventLoop& loop, Duration time) {
  int iterations = 0;
  for (const Instant end = monotonic_now() + time; monotonic_now() < end; ++iterations) {
    loop.run_once(std::chrono::milliseconds(50));
  }
  return iterations;
}

}  // namespace

TEST_SUITE("listener") {
  TEST_CASE("a listener accepts connections up to its limit, and continues when one closes") {
    EventLoop loop;
    const Endpoint address = free_endpoint();
    std::vector<h2o_socket_t*> accepted;
    auto listener =
        Listener::open(loop, address, 3, [&](h2o_socket_t* socket) { accepted.push_back(socket); });
    REQUIRE(listener);
    IdleClients clients(address);
    clients.open(8);
    CHECK(run_until(loop, [&] { return (*listener)->pauses() == 1; }));
    CHECK(accepted.size() == 3);
    CHECK((*listener)->connections() == 3);
    // Paused: the loop only waits, although the backlog has connections.
    CHECK(loop_iterations_in(loop, milliseconds(300)) < 20);
    h2o_socket_close(accepted[0]);
    CHECK(run_until(loop, [&] { return accepted.size() == 4; }));
    CHECK((*listener)->connections() == 3);
    for (std::size_t i = 1; i < accepted.size(); ++i) {
      h2o_socket_close(accepted[i]);
    }
  }

  TEST_CASE("without file descriptors a listener pauses, and accepts the backlog afterwards") {
    // Guards against a busy loop: accepting fails while the listening socket stays readable.
    EventLoop loop;
    const Endpoint address = free_endpoint();
    std::vector<h2o_socket_t*> accepted;
    auto listener = Listener::open(loop, address, 100,
                                   [&](h2o_socket_t* socket) { accepted.push_back(socket); });
    REQUIRE(listener);
    IdleClients clients(address);
    clients.open(5);
    {
      const DescriptorExhaustion exhausted;
      CHECK(loop_iterations_in(loop, milliseconds(500)) < 40);
      CHECK(accepted.empty());
      CHECK((*listener)->pauses() > 0);
    }
    CHECK(run_until(loop, [&] { return accepted.size() == 5; }));
    for (h2o_socket_t* socket : accepted) {
      h2o_socket_close(socket);
    }
  }

  TEST_CASE("the shares of listeners leave file descriptors for other uses") {
    rlimit limit{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    CHECK(max_connections_for_share(0.5) <= limit.rlim_cur / 2);
    CHECK(max_connections_for_share(0) == 1);
  }

  TEST_CASE("the error names an address that is in use") {
    EventLoop loop;
    const Endpoint address = free_endpoint();
    const auto ignore = [](h2o_socket_t* socket) { h2o_socket_close(socket); };
    const auto first = Listener::open(loop, address, 1, ignore);
    REQUIRE(first);
    const auto second = Listener::open(loop, address, 1, ignore);
    REQUIRE_FALSE(second);
    CHECK(second.error().find(to_string(address)) != std::string::npos);
  }
}

}  // namespace gorsevalve
