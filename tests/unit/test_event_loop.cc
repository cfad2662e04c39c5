#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <ctime>
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

std::time_t time_of_day_offset_s = 0;

/// Sets the time of day of this process forward or back until the end of the scope.
struct TimeOfDayStep {
  explicit TimeOfDayStep(std::time_t seconds) { time_of_day_offset_s = seconds; }
  ~TimeOfDayStep() { time_of_day_offset_s = 0; }
  TimeOfDayStep(const TimeOfDayStep&) = delete;
  TimeOfDayStep& operator=(const TimeOfDayStep&) = delete;
};

}  // namespace
}  // namespace gorsevalve

/// Takes the place of the C library's function, which h2o calls.
extern "C" int gettimeofday(timeval* time, void* /*zone*/) noexcept {
  constexpr int kNanosecondsPerMicrosecond = 1000;
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  time->tv_sec = now.tv_sec + gorsevalve::time_of_day_offset_s;
  time->tv_usec = now.tv_nsec / kNanosecondsPerMicrosecond;
  return 0;
}

namespace gorsevalve {

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
      loop.run_once(milliseconds(10));
    }
    CHECK(context.fired == 1);
    h2o_socket_close(socket);
    ::close(pair[1]);
  }

  TEST_CASE("timers fire while the time of day is behind an earlier reading") {
    // Guards against a process that does nothing by timer for as long as the time of day was set
    // back.
    EventLoop loop;
    int earlier = 0;
    int once = 0;
    int repeated = 0;
    loop.after(milliseconds(1), [&] { ++earlier; });
    h2o_evloop_run(loop.raw(), 0);
    const TimeOfDayStep step(-6);
    loop.after(milliseconds(1), [&] { ++once; });
    loop.every(milliseconds(1), [&] { ++repeated; });
    for (int iteration = 0; iteration < kMaxTurns && repeated < 3; ++iteration) {
      loop.run_once(milliseconds(10));
    }
    CHECK(earlier == 1);
    CHECK(once == 1);
    CHECK(repeated == 3);
  }

  TEST_CASE("timers do not fire early when the time of day jumps forward") {
    EventLoop loop;
    int fired = 0;
    loop.after(std::chrono::hours(1), [&] { ++fired; });
    loop.every(std::chrono::hours(1), [&] { ++fired; });
    h2o_evloop_run(loop.raw(), 0);
    const TimeOfDayStep step(2 * 3600);
    for (int iteration = 0; iteration < 3; ++iteration) {
      loop.run_once(milliseconds(1));
    }
    CHECK(fired == 0);
  }

  TEST_CASE("a timer that an action adds fires in a later iteration") {
    // Guards against a loop that never returns to its sockets.
    EventLoop loop;
    int fired = 0;
    std::function<void()> again = [&] {
      ++fired;
      loop.after(milliseconds(0), again);
    };
    again();
    for (int iteration = 1; iteration <= 3; ++iteration) {
      loop.run_once(milliseconds(10));
      CHECK(fired <= 1 + iteration);
    }
    CHECK(fired > 1);
  }

  TEST_CASE("fired timers are freed") {
    EventLoop loop;
    int fired = 0;
    for (int timer = 0; timer < 50; ++timer) {
      loop.after(milliseconds(1), [&] { ++fired; });
      for (int iteration = 0; iteration < kMaxTurns && fired <= timer; ++iteration) {
        loop.run_once(milliseconds(10));
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
      loop.run_once(milliseconds(10));
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
      loop.run_once(milliseconds(10));
    }
    REQUIRE(request_count == 1);
    server->reset();
    // The pending request is freed with its connection.
    ::close(client_socket);
    for (int iteration = 0; iteration < 5; ++iteration) {
      loop.run_once(milliseconds(10));
    }
    CHECK(request_count == 1);
  }
}

}  // namespace gorsevalve
