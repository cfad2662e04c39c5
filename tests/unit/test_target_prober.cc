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

/// Turns of the loop of at most 10 ms each, so that a failure ends.
constexpr int kMaxTurns = 300;

/// A socket bound to a free port, that may listen.
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
    for (int turn = 0; turn < kMaxTurns && answers.size() < 2; ++turn) {
      h2o_evloop_run(loop.raw(), 10);
    }
    CHECK(answers == std::map<std::uint64_t, ProbeAnswer>{{1, ProbeAnswer::kAccepted},
                                                          {2, ProbeAnswer::kRefused}});
    CHECK(prober.sent() == 2);
  }

  TEST_CASE("probes that nothing answers are bounded in number, and end without an answer") {
    EventLoop loop;
    int answered = 0;
    TargetProber prober(loop,
                        [&](std::uint64_t /*number*/, ProbeAnswer /*answer*/) { ++answered; });
    // Nobody accepts, so once its queue is full the listener drops what opens connections.
    const BoundSocket full(0);
    std::uint64_t number = 0;
    for (int turn = 0; turn < 20; ++turn) {
      prober.send(++number, full.address);
      h2o_evloop_run(loop.raw(), 10);
    }
    const int accepted = answered;
    CHECK(accepted < 10);
    while (prober.send(++number, full.address)) {
      REQUIRE(number < 2 * TargetProber::kMaxOpen + 20);
    }
    // Time passes for the prober only: what is too old is closed, and there is room again.
    prober.on_tick(monotonic_now() + TargetProber::kTimeout * 2);
    CHECK(prober.send(++number, full.address));
    CHECK(answered == accepted);
  }
}

}  // namespace gorsevalve
