#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

#include "free_endpoint.h"
#include "tasks/dial_attempts.h"
#include "tasks/frame_network.h"
#include "tasks/socket_address.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// Turns of the loop of at most 10 ms each, so that a failure ends.
constexpr int kMaxTurns = 1000;

/// Two networks on one loop: one asks, the other one answers with several frames at once.
class RequestReplyPair {
 public:
  /// What the asking one does with each frame that it gets.
  using OnReply = std::function<std::optional<Endpoint>(FrameNetwork& asking)>;

  RequestReplyPair(std::size_t answers, OnReply on_answer)
      : reply_count_(answers),
        client_(loop_,
                [this, on_answer = std::move(on_answer)](ByteView /*frame*/) {
                  ++received;
                  return on_answer(client_);
                }),
        server_(loop_, [this](ByteView /*frame*/) {
          // The connection of the one that asks is known from the next turn on.
          loop_.after(milliseconds(1), [this] { send_replies(); });
          return std::optional(kClientAddress);
        }) {
    REQUIRE(server_.listen(server_address).has_value());
  }

  /// Runs the loop until frames came, and some turns more.
  void run_until_received(int frames) {
    for (int turn = 0; turn < kMaxTurns && received < frames; ++turn) {
      h2o_evloop_run(loop_.raw(), 10);
    }
    for (int turn = 0; turn < 10; ++turn) {
      h2o_evloop_run(loop_.raw(), 1);
    }
  }

  FrameNetwork& client() { return client_; }

  const Endpoint server_address = free_endpoint();
  int received = 0;

 private:
  static constexpr Endpoint kClientAddress{kLoopback, 1};

  void send_replies() {
    for (std::size_t i = 0; i < reply_count_; ++i) {
      server_.send(kClientAddress, {'y'}, false);
    }
  }

  EventLoop loop_;
  std::size_t reply_count_;
  FrameNetwork client_;
  FrameNetwork server_;
};

}  // namespace

TEST_SUITE("frame_network") {
  TEST_CASE("another attempt begins soon, and earlier ones go on for a while") {
    // On days when all machines lost power, balancers waited for the kernel's copy of the opening
    // packet, which goes a second after the first one.
    const Instant began{std::chrono::seconds(1)};
    CHECK_FALSE(dialling::needs_another_attempt(began, began + milliseconds(40)));
    CHECK(dialling::needs_another_attempt(began, began + milliseconds(50)));
    CHECK_FALSE(dialling::has_timed_out(began, began + milliseconds(500)));
    CHECK(dialling::has_timed_out(began, began + milliseconds(900)));
    CHECK(dialling::kNextAttemptDelay * 4 < std::chrono::seconds(1));
  }

  TEST_CASE("one frame reaches a peer that begins to listen a little later") {
    // After a loss of all a balancer's question waited for the next heartbeat to be dialled again.
    EventLoop loop;
    const Endpoint peer = free_endpoint();
    int heard = 0;
    FrameNetwork dialler(loop, [&](ByteView /*frame*/) { return std::optional(peer); });
    FrameNetwork listener(loop, [&](ByteView /*frame*/) {
      ++heard;
      return std::optional(Endpoint{kLoopback, 1});
    });
    dialler.send(peer, {'a', 's', 'k'}, true);
    for (int turn = 0; turn < kMaxTurns && heard == 0; ++turn) {
      if (turn == 3) {
        REQUIRE(listener.listen(peer).has_value());
      }
      h2o_evloop_run(loop.raw(), 10);
    }
    CHECK(heard == 1);
  }

  TEST_CASE("an accepted connection over which nothing comes is closed") {
    // Connections may go silent for good: without this, each silence would keep a descriptor.
    EventLoop loop;
    const Endpoint address = free_endpoint();
    bool has_ended = false;
    FrameNetwork accepting(
        loop,
        [&](ByteView /*frame*/) {
          return std::optional(Endpoint{kLoopback, 1});
        },
        milliseconds(40));
    REQUIRE(accepting.listen(address).has_value());
    const int silent = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in raw = to_sockaddr(address);
    REQUIRE(::connect(silent, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0);
    for (int turn = 0; turn < kMaxTurns && !has_ended; ++turn) {
      h2o_evloop_run(loop.raw(), 10);
      char octet = 0;
      has_ended = ::recv(silent, &octet, 1, MSG_DONTWAIT) == 0;
    }
    ::close(silent);
    CHECK(has_ended);
    CHECK(accepting.counters().idle_closed == 1);
  }

  TEST_CASE("who sends without a connection is told that the frame was dropped") {
    EventLoop loop;
    const Endpoint peer = free_endpoint();
    FrameNetwork network(loop, [&](ByteView /*frame*/) { return std::optional(peer); });
    CHECK_FALSE(network.send(peer, {'a'}, false));
    CHECK(network.counters().dropped_without_connection == 1);
    CHECK(network.send(peer, {'a'}, true));
    CHECK(network.counters().dropped_without_connection == 1);
  }

  TEST_CASE("frames reach a peer that begins to listen later, and answers come back") {
    EventLoop loop;
    const Endpoint peer = free_endpoint();
    const Endpoint self{kLoopback, 1};
    std::string heard;
    std::string answered;
    FrameNetwork dialler(loop, [&](ByteView frame) {
      answered.assign(frame.begin(), frame.end());
      return std::optional(peer);
    });
    FrameNetwork listener(loop, [&](ByteView frame) {
      heard.assign(frame.begin(), frame.end());
      return std::optional(self);
    });
    const Bytes question{'a', 's', 'k'};
    const Bytes answer{'y', 'e', 's'};
    for (int turn = 0; turn < kMaxTurns && answered.empty(); ++turn) {
      dialler.send(peer, question, true);
      if (turn == 3) {
        REQUIRE(listener.listen(peer).has_value());
      }
      if (!heard.empty()) {
        listener.send(self, answer, false);
      }
      h2o_evloop_run(loop.raw(), 10);
    }
    CHECK(heard == "ask");
    CHECK(answered == "yes");
  }

  TEST_CASE("a receiver may drop the peer whose frame it reads") {
    // A late answer of a replica led to a look at all replicas, and to its own being dropped as
    // silent: the network went on with a connection that was freed.
    RequestReplyPair conversation(3, [&](FrameNetwork& asking) {
      asking.disconnect(conversation.server_address);
      return std::optional(conversation.server_address);
    });
    conversation.client().send(conversation.server_address, {'a'}, true);
    conversation.run_until_received(1);
    // What came after the first frame went with the connection.
    CHECK(conversation.received == 1);
    // Nothing of the old connection is left: the peer is dialled again.
    CHECK_FALSE(conversation.client().send(conversation.server_address, {'a'}, false));
    CHECK(conversation.client().send(conversation.server_address, {'a'}, true));
    conversation.run_until_received(2);
    CHECK(conversation.received == 2);
  }

  TEST_CASE("a receiver may drop its peer and refuse the frame") {
    RequestReplyPair conversation(3, [&](FrameNetwork& asking) {
      asking.disconnect(conversation.server_address);
      return std::optional<Endpoint>();
    });
    conversation.client().send(conversation.server_address, {'a'}, true);
    conversation.run_until_received(1);
    CHECK(conversation.received == 1);
  }

  TEST_CASE("a receiver may send a frame that gives up the connection it reads from") {
    // The frame before was not answered for longer than a peer may stay silent: what is sent to the
    // peer closes the connection.
    RequestReplyPair conversation(3, [&](FrameNetwork& asking) {
      asking.send(conversation.server_address, {'a'}, true);
      ::usleep(1600 * 1000);
      asking.send(conversation.server_address, {'a'}, true);
      return std::optional(conversation.server_address);
    });
    conversation.client().send(conversation.server_address, {'a'}, true);
    conversation.run_until_received(1);
    CHECK(conversation.received >= 1);
    CHECK(conversation.client().counters().connections_timed_out >= 1);
  }

  TEST_CASE("a peer that names another address is found by both until its connection ends") {
    // The connection was found by the address that was dialled, after it had been closed.
    const Endpoint other{kLoopback, 2};
    RequestReplyPair conversation(1,
                                  [&](FrameNetwork& /*asking*/) { return std::optional(other); });
    conversation.client().send(conversation.server_address, {'a'}, true);
    conversation.run_until_received(1);
    REQUIRE(conversation.received == 1);
    CHECK(conversation.client().send(other, {'a'}, false));
    CHECK(conversation.client().send(conversation.server_address, {'a'}, false));
    conversation.client().disconnect(other);
    CHECK_FALSE(conversation.client().send(conversation.server_address, {'a'}, false));
  }
}

}  // namespace gorsevalve
