#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "tasks/event_loop.h"

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
}

}  // namespace gorsevalve
