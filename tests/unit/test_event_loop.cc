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

/// Limit of loop iterations, each at most 10 ms, so that a failing test ends.
constexpr int kMaxTurns = 100;

}  // namespace

TEST_SUITE("event_loop") {
  TEST_CASE("a timer that a socket callback sets does not free a timer that h2o still uses") {
    // h2o runs socket callbacks between two timers, while it still refers to the earlier one.
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
      static char byte = 'a';
      h2o_iovec_t part = h2o_iovec_init(&byte, 1);
      h2o_socket_write(socket, &part, 1, [](h2o_socket_t* written, const char* /*error*/) {
        auto* found = static_cast<Context*>(written->data);
        found->loop->after(milliseconds(1), [found] { ++found->fired; });
      });
    });
    for (int iteration = 0; iteration < kMaxTurns && context.fired == 0; ++iteration) {
      h2o_evloop_run(loop.raw(), 10);
    }
    CHECK(context.fired == 1);
    h2o_socket_close(socket);
    ::close(pair[1]);
  }

  TEST_CASE("fired timers are freed") {
    EventLoop loop;
    int fired = 0;
    for (int timer = 0; timer < 50; ++timer) {
      loop.after(milliseconds(1), [&] { ++fired; });
      for (int iteration = 0; iteration < kMaxTurns && fired <= timer; ++iteration) {
        h2o_evloop_run(loop.raw(), 10);
      }
    }
    CHECK(fired == 50);
    CHECK(loop.timers() < 10);
  }

  TEST_CASE("a server and a client may be destroyed before the timers of their loop") {
    // Guards against use after free through the loop's list of timeouts. The test environment
    // overwrites freed memory.
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
    for (int iteration = 0; iteration < kMaxTurns && fired < 4; ++iteration) {
      h2o_evloop_run(loop.raw(), 10);
    }
    CHECK(fired >= 4);
  }

  TEST_CASE("a connection may outlive the server that accepted it") {
    EventLoop loop;
    const Endpoint address = free_endpoint();
    int request_count = 0;
    auto server = HttpServer::open(
        loop, address, [&](HttpServer::RequestNumber /*number*/, const HttpRequest& /*request*/) {
          ++request_count;
        });
    REQUIRE(server);
    const int client_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in raw = to_sockaddr(address);
    REQUIRE(::connect(client_socket, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0);
    const std::string request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    REQUIRE(::send(client_socket, request.data(), request.size(), 0) > 0);
    for (int iteration = 0; iteration < kMaxTurns && request_count == 0; ++iteration) {
      h2o_evloop_run(loop.raw(), 10);
    }
    REQUIRE(request_count == 1);
    server->reset();
    // The pending request is freed with its connection.
    ::close(client_socket);
    for (int iteration = 0; iteration < 5; ++iteration) {
      h2o_evloop_run(loop.raw(), 10);
    }
    CHECK(request_count == 1);
  }
}

}  // namespace gorsevalve
