#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "free_endpoint.h"
#include "tasks/event_loop.h"
#include "tasks/http_client.h"
#include "tasks/http_server.h"
#include "tasks/socket_address.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// Turns of the loop of at most 10 ms each, so that a failure ends.
constexpr int kMaxTurns = 100;

}  // namespace

TEST_SUITE("event_loop") {
  TEST_CASE(
      "a timer set by a socket that became ready in an earlier timer's turn frees nothing in use") {
    // h2o runs sockets that are ready between two timers, while it still holds the earlier one.
    EventLoop loop;
    std::array<int, 2> pair{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()) == 0);
    struct Context {
      EventLoop* loop = nullptr;
      int fired = 0;
    } context{&loop, 0};
    h2o_socket_t* socket = h2o_evloop_socket_create(loop.raw(), pair[0], 0);
    socket->data = &context;
    loop.after(milliseconds(1), [&] {
      static char octet = 'a';
      h2o_iovec_t part = h2o_iovec_init(&octet, 1);
      h2o_socket_write(socket, &part, 1, [](h2o_socket_t* written, const char* /*error*/) {
        auto* found = static_cast<Context*>(written->data);
        found->loop->after(milliseconds(1), [found] { ++found->fired; });
      });
    });
    for (int turn = 0; turn < kMaxTurns && context.fired == 0; ++turn) {
      h2o_evloop_run(loop.raw(), 10);
    }
    CHECK(context.fired == 1);
    h2o_socket_close(socket);
    ::close(pair[1]);
  }

  TEST_CASE("timers that have fired are given back") {
    EventLoop loop;
    int fired = 0;
    for (int timer = 0; timer < 50; ++timer) {
      loop.after(milliseconds(1), [&] { ++fired; });
      for (int turn = 0; turn < kMaxTurns && fired <= timer; ++turn) {
        h2o_evloop_run(loop.raw(), 10);
      }
    }
    CHECK(fired == 50);
    CHECK(loop.timers() < 10);
  }

  TEST_CASE("a server and a client may end before the timers of their loop") {
    // A balancer's server is freed before its loop: the loop's list of timeouts, which its timers
    // stand in, led through what was freed. (The test environment overwrites what is freed.)
    EventLoop loop;
    int fired = 0;
    loop.every(milliseconds(1), [&] { ++fired; });
    {
      const auto ignore = [](HttpServer::RequestNumber /*number*/, const HttpRequest& /*request*/) {
      };
      const auto server = HttpServer::open(loop, free_endpoint(), ignore);
      REQUIRE(server);
      const HttpClient client(loop, milliseconds(100));
      loop.every(milliseconds(1), [&] { ++fired; });
    }
    for (int turn = 0; turn < kMaxTurns && fired < 4; ++turn) {
      h2o_evloop_run(loop.raw(), 10);
    }
    CHECK(fired >= 4);
  }

  TEST_CASE("a connection may outlive the server that accepted it") {
    EventLoop loop;
    const Endpoint address = free_endpoint();
    int asked = 0;
    auto server = HttpServer::open(
        loop, address,
        [&](HttpServer::RequestNumber /*number*/, const HttpRequest& /*request*/) { ++asked; });
    REQUIRE(server);
    const int caller = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in raw = to_sockaddr(address);
    REQUIRE(::connect(caller, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0);
    const std::string request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    REQUIRE(::send(caller, request.data(), request.size(), 0) > 0);
    for (int turn = 0; turn < kMaxTurns && asked == 0; ++turn) {
      h2o_evloop_run(loop.raw(), 10);
    }
    REQUIRE(asked == 1);
    server->reset();
    // The request that waits for its answer goes with its connection.
    ::close(caller);
    for (int turn = 0; turn < 5; ++turn) {
      h2o_evloop_run(loop.raw(), 10);
    }
    CHECK(asked == 1);
  }
}

}  // namespace gorsevalve
