#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "core/link/link_shaper.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::seconds(1000)};
constexpr double kRate = 250'000;
constexpr Endpoint kTarget{10, 80};
constexpr std::size_t kLarge = 1240;
constexpr PacketDeadlines kDeadlines{std::chrono::seconds(8), milliseconds(1200)};

ClientPacket data_packet(std::uint32_t caller, std::uint32_t sequence, std::uint32_t size = 1200) {
  ClientPacket packet;
  packet.flow = {{caller, 1}, {1, 443}};
  packet.sequence = sequence;
  packet.data_size = size;
  return packet;
}

/// A scheduler with a link behind which something waits already.
struct BusyLink {
  LinkModel model{kRate};
  LinkScheduler scheduler{model};

  BusyLink() {
    while (scheduler.can_send_immediately(kStart)) {
      scheduler.on_sent_immediately(kLarge, kStart);
    }
  }

  void enqueue(const ClientPacket& packet, Instant now = kStart,
               const PacketDeadlines& patience = kDeadlines) {
    const std::size_t size = packet.data_size + 40;
    const auto room = scheduler.enqueue(packet, kTarget, size, patience, now);
    REQUIRE(room.size() == size);
    // What tells the packets apart: caller and place.
    room[0] = static_cast<std::uint8_t>(packet.flow.client.address);
    room[1] = static_cast<std::uint8_t>(packet.sequence / 1200);
  }

  /// Callers and places of all that leaves, in order, with the time of the last one.
  std::vector<std::pair<int, int>> drain(Instant& now) {
    std::vector<std::pair<int, int>> left;
    while (const auto turn = scheduler.next_dequeue_at()) {
      now = std::max(now, *turn);
      while (const auto due = scheduler.dequeue(now)) {
        left.emplace_back(due->bytes[0], due->bytes[1]);
      }
    }
    return left;
  }
};

}  // namespace

TEST_SUITE("link_scheduler") {
  TEST_CASE("on a link of unknown rate everything leaves at once") {
    LinkModel model(0);
    LinkScheduler scheduler(model);
    for (int i = 0; i < 10'000; ++i) {
      CHECK(scheduler.can_send_immediately(kStart));
      scheduler.on_sent_immediately(kLarge, kStart);
    }
    CHECK_FALSE(scheduler.next_dequeue_at());
  }

  TEST_CASE("what waits leaves at the link's rate, in the order of the stream") {
    BusyLink link;
    for (const int place : {3, 0, 2, 1}) {
      link.enqueue(data_packet(7, place * 1200U));
    }
    Instant now = kStart;
    const auto left = link.drain(now);
    CHECK(left == std::vector<std::pair<int, int>>{{7, 0}, {7, 1}, {7, 2}, {7, 3}});
    // Four packets of 1,286 octets on the wire at 237,500 octets a second, behind what went before.
    CHECK((now - kStart) / milliseconds(1) >= 15);
    CHECK((now - kStart) / milliseconds(1) <= 25);
  }

  TEST_CASE("a short request passes transfers that wait, and transfers share evenly") {
    BusyLink link;
    for (std::uint32_t place = 0; place < 4; ++place) {
      link.enqueue(data_packet(1, place * 1200));
    }
    for (std::uint32_t place = 0; place < 4; ++place) {
      link.enqueue(data_packet(2, place * 1200));
    }
    Instant now = *link.scheduler.next_dequeue_at();
    REQUIRE(link.scheduler.dequeue(now));
    link.enqueue(data_packet(9, 0, 100), now);
    const auto left = link.drain(now);
    // One of each transfer at most before it: the second one had waited without a turn.
    CHECK(left[1] == std::pair{9, 0});
    int ahead = 0;
    for (const auto& [caller, place] : left) {
      ahead += caller == 1 ? 1 : caller == 2 ? -1 : 0;
      CHECK(std::abs(ahead) <= 2);
    }
  }

  TEST_CASE("a transfer that is late yields to one that can still be in time, and goes on") {
    BusyLink link;
    link.enqueue(data_packet(1, 0));
    Instant now = kStart;
    link.drain(now);
    now = kStart + milliseconds(1300);
    while (link.scheduler.can_send_immediately(now)) {
      link.scheduler.on_sent_immediately(kLarge, now);
    }
    for (std::uint32_t place = 1; place <= 10; ++place) {
      link.enqueue(data_packet(1, place * 1200), now);
      link.enqueue(data_packet(2, place * 1200), now);
    }
    const auto left = link.drain(now);
    const auto first = std::count_if(left.begin(), left.begin() + 10,
                                     [](const auto& one) { return one.first == 1; });
    CHECK(first >= 1);
    CHECK(first <= 2);
    CHECK(left.size() == 20);
  }

  TEST_CASE("copies of what waits or left lately are not needed; later ones pass") {
    BusyLink link;
    const ClientPacket packet = data_packet(1, 2400);
    CHECK_FALSE(link.scheduler.is_redundant_retransmission(packet, kStart));
    link.enqueue(packet);
    CHECK(link.scheduler.is_redundant_retransmission(packet, kStart + milliseconds(5)));
    Instant now = kStart;
    link.drain(now);
    CHECK(link.scheduler.is_redundant_retransmission(packet, now + milliseconds(40)));
    // Senders repeat after 200 ms: if the packet was lost, that copy must pass.
    CHECK_FALSE(link.scheduler.is_redundant_retransmission(packet, now + milliseconds(200)));
    CHECK_FALSE(link.scheduler.is_redundant_retransmission(data_packet(1, 3600), now));
    CHECK(link.scheduler.counters().retransmissions_suppressed == 2);
  }

  TEST_CASE("data that follows an opening or an acknowledgement is no copy of it") {
    BusyLink link;
    link.enqueue(data_packet(1, 2400, 0));
    Instant now = kStart;
    link.drain(now);
    CHECK_FALSE(
        link.scheduler.is_redundant_retransmission(data_packet(1, 2400), now + milliseconds(10)));
  }

  TEST_CASE("flows that come without end do not starve a transfer that waits") {
    BusyLink link;
    for (std::uint32_t place = 0; place < 10; ++place) {
      link.enqueue(data_packet(1, place * 1200));
    }
    Instant now = kStart;
    std::uint32_t caller = 100;
    int of_transfer = 0;
    for (int turn = 0; turn < 200; ++turn) {
      now = std::max(now, *link.scheduler.next_dequeue_at());
      while (link.scheduler.queued_packets() < 40) {
        link.enqueue(data_packet(++caller, 0, 260), now);
      }
      while (const auto due = link.scheduler.dequeue(now)) {
        of_transfer += due->bytes[0] == 1 ? 1 : 0;
      }
    }
    CHECK(of_transfer >= 2);
  }

  TEST_CASE("flows are bounded in number") {
    BusyLink link;
    for (std::uint32_t caller = 0; caller < 2 * LinkScheduler::kMaxFlows; ++caller) {
      static_cast<void>(
          link.scheduler.enqueue(data_packet(caller, 0), kTarget, kLarge, kDeadlines, kStart));
    }
    CHECK(link.scheduler.queued_packets() <= LinkScheduler::kMaxQueuedPackets);
    CHECK(link.scheduler.counters().dropped_queue_full >=
          2 * LinkScheduler::kMaxFlows - LinkScheduler::kMaxQueuedPackets);
  }

  TEST_CASE("a packet whose caller has left is dropped, also of a flow that lives on") {
    BusyLink link;
    link.enqueue(data_packet(1, 0), kStart, {milliseconds(10), {}});
    link.enqueue(data_packet(1, 1200), kStart, kDeadlines);
    Instant now = kStart + milliseconds(300);
    CHECK(link.drain(now) == std::vector<std::pair<int, int>>{{1, 1}});
    CHECK(link.scheduler.counters().dropped_expired == 1);
    link.enqueue(data_packet(1, 2400), now);
    link.scheduler.drop_flow(data_packet(1, 0).flow);
    CHECK(link.scheduler.queued_packets() == 0);
    CHECK_FALSE(link.scheduler.next_dequeue_at());
  }

  TEST_CASE("a flow that never ends does not take the place of others") {
    BusyLink link;
    link.enqueue(data_packet(2, 0));
    for (std::uint32_t place = 0; place < 2 * LinkScheduler::kMaxQueuedPackets; ++place) {
      static_cast<void>(link.scheduler.enqueue(data_packet(1, place * 1200), kTarget, kLarge,
                                               kDeadlines, kStart));
    }
    CHECK(link.scheduler.queued_packets() == LinkScheduler::kMaxQueuedPackets);
    link.enqueue(data_packet(3, 0));
    CHECK(link.scheduler.queued_packets() == LinkScheduler::kMaxQueuedPackets);
    Instant now = kStart;
    const auto left = link.drain(now);
    const auto place_of = [&](int caller) {
      const auto found = std::find_if(left.begin(), left.end(),
                                      [&](const auto& one) { return one.first == caller; });
      return found - left.begin();
    };
    CHECK(place_of(2) <= 1);
    CHECK(place_of(3) <= 2);
    CHECK(link.scheduler.queued_bytes() == 0);
  }

  TEST_CASE("flows that rest are forgotten") {
    BusyLink link;
    for (std::uint32_t caller = 0; caller < 200; ++caller) {
      link.enqueue(data_packet(caller, 0));
    }
    Instant now = kStart;
    link.drain(now);
    link.scheduler.on_tick(now + std::chrono::seconds(1));
    CHECK_FALSE(link.scheduler.is_redundant_retransmission(data_packet(199, 0), now));
    link.enqueue(data_packet(5, 0), now);
    CHECK(link.scheduler.queued_packets() == 1);
  }
}

TEST_SUITE("bulk_admission") {
  constexpr Duration kTimeout = milliseconds(8000);

  SteeredFlow flow_of(std::uint32_t caller) { return {{caller, 1}, {1, 443}}; }

  TEST_CASE("bulk flows are admitted while they can land before their callers leave") {
    LinkModel model(kRate);
    BulkAdmission admission(model);
    std::uint32_t admitted = 0;
    while (admission.try_admit(flow_of(admitted), kTimeout, kStart)) {
      ++admitted;
      REQUIRE(admitted < 100);
    }
    // 18 of 38,400 octets take 3.9 s of three quarters of what may be used of 2 Mbit/s.
    CHECK(admitted == 18);
    CHECK(admission.rejected() == 1);
    CHECK(admission.try_admit(flow_of(0), kTimeout, kStart));
    admission.on_data(flow_of(0), 38'400, kStart);
    admission.on_flow_end(flow_of(0), true);
    CHECK(admission.try_admit(flow_of(99), kTimeout, kStart));
  }

  TEST_CASE("one flow is always admitted, and flows that went silent do not count") {
    LinkModel slow(1000);
    BulkAdmission admission(slow);
    CHECK(admission.try_admit(flow_of(1), kTimeout, kStart));
    CHECK_FALSE(admission.try_admit(flow_of(2), kTimeout, kStart));
    admission.on_tick(kStart + std::chrono::seconds(3));
    CHECK(admission.try_admit(flow_of(2), kTimeout, kStart));
  }

  TEST_CASE("the usual size is learned from flows that ended") {
    LinkModel model(kRate);
    BulkAdmission admission(model);
    for (std::uint32_t i = 0; i < 200; ++i) {
      REQUIRE(admission.try_admit(flow_of(i), kTimeout, kStart));
      admission.on_data(flow_of(i), 100'000, kStart);
      admission.on_flow_end(flow_of(i), true);
    }
    CHECK(admission.average_flow_size() == doctest::Approx(100'000).epsilon(0.01));
    // Neither a flow that never opened nor one that was broken off tells of sizes.
    REQUIRE(admission.try_admit(flow_of(1000), kTimeout, kStart));
    admission.on_flow_end(flow_of(1000), true);
    REQUIRE(admission.try_admit(flow_of(1001), kTimeout, kStart));
    admission.on_data(flow_of(1001), 1200, kStart);
    admission.on_flow_end(flow_of(1001), false);
    CHECK(admission.average_flow_size() == doctest::Approx(100'000).epsilon(0.01));
  }

  TEST_CASE("callers that open without end are refused beyond a bound; wide links refuse nobody") {
    LinkModel model(1e12);
    BulkAdmission admission(model);
    for (std::uint32_t i = 0; i < BulkAdmission::kMaxFlows; ++i) {
      REQUIRE(admission.try_admit(flow_of(i), kTimeout, kStart));
    }
    CHECK_FALSE(admission.try_admit(flow_of(5000), kTimeout, kStart));
    LinkModel wide(0);
    BulkAdmission everything(wide);
    for (std::uint32_t i = 0; i < 5000; ++i) {
      REQUIRE(everything.try_admit(flow_of(i), kTimeout, kStart));
    }
    CHECK(everything.flows() == 0);
  }
}

}  // namespace gorsevalve
