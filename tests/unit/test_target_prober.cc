#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <vector>

#include "free_endpoint.h"
#include "tasks/socket_address.h"
#include "tasks/target_prober.h"

namespace gorsevalve {
namespace {

/// Limit of loop iterations, each at most 10 ms, so that a failing test ends.
constexpr int kMaxTurns = 300;

/// A socket bound to a free port. It listens if it has a backlog.
class BoundSocket {
 public:
  explicit BoundSocket(std::optional<int> backlog)
      : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in raw = to_sockaddr({kLoopback, 0});
    socklen_t size = sizeof(raw);
    REQUIRE(::bind(descriptor_, reinterpret_cast<const sockaddr*>(&raw), size) == 0);
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&raw), &size);
    address = from_sockaddr(raw);
    if (backlog) {
      REQUIRE(::listen(descriptor_, *backlog) == 0);
    }
  }
  ~BoundSocket() { ::close(descriptor_); }
  BoundSocket(const BoundSocket&) = delete;
  BoundSocket& operator=(const BoundSocket&) = delete;

  Endpoint address;

 private:
  int descriptor_;
};

}  // namespace

TEST_SUITE("target_prober") {
  TEST_CASE("a listening target accepts, a closed port refuses") {
    EventLoop loop;
    std::map<std::uint64_t, ProbeAnswer> answers;
    TargetProber prober(
        loop, [&](std::uint64_t number, ProbeAnswer answer) { answers[number] = answer; });
    const BoundSocket listening(8);
    const BoundSocket closed(std::nullopt);
    CHECK(prober.send(1, listening.address));
    CHECK(prober.send(2, closed.address));
    for (int iteration = 0; iteration < kMaxTurns && answers.size() < 2; ++iteration) {
      loop.run_once(std::chrono::milliseconds(10));
    }
    CHECK(answers == std::map<std::uint64_t, ProbeAnswer>{{1, ProbeAnswer::kAccepted},
                                                          {2, ProbeAnswer::kRefused}});
    CHECK(prober.sent() == 2);
  }

  TEST_CASE("unanswered probes are limited in number, and time out without a result") {
    EventLoop loop;
    int answered = 0;
    TargetProber prober(loop,
                        [&](std::uint64_t /*number*/, ProbeAnswer /*answer*/) { ++answered; });
    // Nobody accepts: once the backlog is full, the kernel drops SYNs.
    const BoundSocket full(0);
    std::uint64_t number = 0;
    for (int iteration = 0; iteration < 20; ++iteration) {
      prober.send(++number, full.address);
      loop.run_once(std::chrono::milliseconds(10));
    }
    const int accepted = answered;
    CHECK(accepted < 10);
    while (prober.send(++number, full.address)) {
      REQUIRE(number < 2 * TargetProber::kMaxOpen + 20);
    }
    // The tick is in the future: expired probes are closed, and new ones can be sent.
    prober.on_tick(monotonic_now() + TargetProber::kTimeout * 2);
    CHECK(prober.send(++number, full.address));
    CHECK(answered == accepted);
  }
}

}  // namespace gorsevalve
