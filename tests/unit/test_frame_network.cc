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

/// Limit of loop iterations, each at most 10 ms, so that a failing test ends.
constexpr int kMaxTurns = 1000;

/// A client and a server network on one loop. The server replies to each frame with several frames.
class RequestReplyPair {
 public:
  /// Handles each frame that the client receives.
  using OnReply = std::function<std::optional<Endpoint>(FrameNetwork& client)>;

  RequestReplyPair(std::size_t reply_count, OnReply on_reply)
      : reply_count_(reply_count),
        client_(loop_,
                [this, on_reply = std::move(on_reply)](ByteView /*frame*/) {
                  ++received;
                  return on_reply(client_);
                }),
        server_(loop_, [this](ByteView /*frame*/) {
          // The connection of the client is known from the next iteration on.
          loop_.after(milliseconds(1), [this] { send_replies(); });
          return std::optional(kClientAddress);
        }) {
    REQUIRE(server_.listen(server_address).has_value());
  }

  /// Runs the loop until the client has received `frames`, and some more iterations.
  void run_until_received(int frames) {
    for (int iteration = 0; iteration < kMaxTurns && received < frames; ++iteration) {
      loop_.run_once(std::chrono::milliseconds(10));
    }
    for (int iteration = 0; iteration < 10; ++iteration) {
      loop_.run_once(std::chrono::milliseconds(1));
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
  TEST_CASE("a new connection attempt starts soon, and earlier attempts continue") {
    // Guards against waiting for a SYN retransmission of the kernel, which is sent after a second.
    const Instant started_at{std::chrono::seconds(1)};
    CHECK_FALSE(dialling::needs_another_attempt(started_at, started_at + milliseconds(40)));
    CHECK(dialling::needs_another_attempt(started_at, started_at + milliseconds(50)));
    CHECK_FALSE(dialling::has_timed_out(started_at, started_at + milliseconds(500)));
    CHECK(dialling::has_timed_out(started_at, started_at + milliseconds(900)));
    CHECK(dialling::kNextAttemptDelay * 4 < std::chrono::seconds(1));
  }

  TEST_CASE("one frame reaches a peer that starts to listen later") {
    // Guards against frames that wait for the sender's next frame before the peer is dialled again.
    EventLoop loop;
    const Endpoint peer = free_endpoint();
    int received_frames = 0;
    FrameNetwork client_network(loop, [&](ByteView /*frame*/) { return std::optional(peer); });
    FrameNetwork server_network(loop, [&](ByteView /*frame*/) {
      ++received_frames;
      return std::optional(Endpoint{kLoopback, 1});
    });
    client_network.send(peer, {'a', 's', 'k'}, true);
    for (int iteration = 0; iteration < kMaxTurns && received_frames == 0; ++iteration) {
      if (iteration == 3) {
        REQUIRE(server_network.listen(peer).has_value());
      }
      loop.run_once(std::chrono::milliseconds(10));
    }
    CHECK(received_frames == 1);
  }

  TEST_CASE("an idle accepted connection is closed") {
    // Guards against file descriptors that leak when peers vanish.
    EventLoop loop;
    const Endpoint address = free_endpoint();
    bool is_closed = false;
    FrameNetwork network(
        loop,
        [&](ByteView /*frame*/) {
          return std::optional(Endpoint{kLoopback, 1});
        },
        milliseconds(40));
    REQUIRE(network.listen(address).has_value());
    const int idle_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in raw = to_sockaddr(address);
    REQUIRE(::connect(idle_socket, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0);
    for (int iteration = 0; iteration < kMaxTurns && !is_closed; ++iteration) {
      loop.run_once(std::chrono::milliseconds(10));
      char byte = 0;
      is_closed = ::recv(idle_socket, &byte, 1, MSG_DONTWAIT) == 0;
    }
    ::close(idle_socket);
    CHECK(is_closed);
    CHECK(network.counters().idle_closed == 1);
  }

  TEST_CASE("send reports that a frame was dropped for lack of a connection") {
    EventLoop loop;
    const Endpoint peer = free_endpoint();
    FrameNetwork network(loop, [&](ByteView /*frame*/) { return std::optional(peer); });
    CHECK_FALSE(network.send(peer, {'a'}, false));
    CHECK(network.counters().dropped_without_connection == 1);
    CHECK(network.send(peer, {'a'}, true));
    CHECK(network.counters().dropped_without_connection == 1);
  }

  TEST_CASE("frames reach a peer that starts to listen later, and replies are received") {
    EventLoop loop;
    const Endpoint peer = free_endpoint();
    const Endpoint self{kLoopback, 1};
    std::string received_request;
    std::string received_reply;
    FrameNetwork client_network(loop, [&](ByteView frame) {
      received_reply.assign(frame.begin(), frame.end());
      return std::optional(peer);
    });
    FrameNetwork server_network(loop, [&](ByteView frame) {
      received_request.assign(frame.begin(), frame.end());
      return std::optional(self);
    });
    const Bytes request{'a', 's', 'k'};
    const Bytes reply{'y', 'e', 's'};
    for (int iteration = 0; iteration < kMaxTurns && received_reply.empty(); ++iteration) {
      client_network.send(peer, request, true);
      if (iteration == 3) {
        REQUIRE(server_network.listen(peer).has_value());
      }
      if (!received_request.empty()) {
        server_network.send(self, reply, false);
      }
      loop.run_once(std::chrono::milliseconds(10));
    }
    CHECK(received_request == "ask");
    CHECK(received_reply == "yes");
  }

  TEST_CASE("a receiver may disconnect the peer whose frame it handles") {
    // Guards against use of a freed connection after the receiver closed it.
    RequestReplyPair pair(3, [&](FrameNetwork& client) {
      client.disconnect(pair.server_address);
      return std::optional(pair.server_address);
    });
    pair.client().send(pair.server_address, {'a'}, true);
    pair.run_until_received(1);
    // Frames after the first one are discarded with the connection.
    CHECK(pair.received == 1);
    // The old connection is gone: the peer is dialled again.
    CHECK_FALSE(pair.client().send(pair.server_address, {'a'}, false));
    CHECK(pair.client().send(pair.server_address, {'a'}, true));
    pair.run_until_received(2);
    CHECK(pair.received == 2);
  }

  TEST_CASE("a receiver may disconnect its peer and reject the frame") {
    RequestReplyPair pair(3, [&](FrameNetwork& client) {
      client.disconnect(pair.server_address);
      return std::optional<Endpoint>();
    });
    pair.client().send(pair.server_address, {'a'}, true);
    pair.run_until_received(1);
    CHECK(pair.received == 1);
  }

  TEST_CASE("a receiver may send a frame that closes its own connection as timed out") {
    // The first frame is unanswered past the timeout, so the second `send` closes the connection.
    RequestReplyPair pair(3, [&](FrameNetwork& client) {
      client.send(pair.server_address, {'a'}, true);
      ::usleep(1600 * 1000);
      client.send(pair.server_address, {'a'}, true);
      return std::optional(pair.server_address);
    });
    pair.client().send(pair.server_address, {'a'}, true);
    pair.run_until_received(1);
    CHECK(pair.received >= 1);
    CHECK(pair.client().counters().connections_timed_out >= 1);
  }

  TEST_CASE(
      "a peer that names another address is found by both addresses until its connection closes") {
    // Guards against a closed connection that is still found by the dialled address.
    const Endpoint other{kLoopback, 2};
    RequestReplyPair pair(1, [&](FrameNetwork& /*client*/) { return std::optional(other); });
    pair.client().send(pair.server_address, {'a'}, true);
    pair.run_until_received(1);
    REQUIRE(pair.received == 1);
    CHECK(pair.client().send(other, {'a'}, false));
    CHECK(pair.client().send(pair.server_address, {'a'}, false));
    pair.client().disconnect(other);
    CHECK_FALSE(pair.client().send(pair.server_address, {'a'}, false));
  }
}

}  // namespace gorsevalve
