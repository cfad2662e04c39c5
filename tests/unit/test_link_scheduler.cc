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

ClientPacket data_packet(std::uint32_t client_id, std::uint32_t sequence,
                         std::uint32_t size = 1200) {
  ClientPacket packet;
  packet.flow = {{client_id, 1}, {1, 443}};
  packet.sequence = sequence;
  packet.data_size = size;
  return packet;
}

/// A scheduler whose link already has the maximum backlog.
struct BusyLink {
  LinkModel model{kRate};
  LinkScheduler scheduler{model};

  BusyLink() {
    while (scheduler.can_send_immediately(kStart)) {
      scheduler.on_sent_immediately(kLarge, kStart);
    }
  }

  void enqueue(const ClientPacket& packet, Instant now = kStart,
               const PacketDeadlines& deadlines = kDeadlines) {
    const std::size_t size = packet.data_size + 40;
    const auto buffer = scheduler.enqueue(packet, kTarget, size, deadlines, now);
    REQUIRE(buffer.size() == size);
    // The first two bytes identify the packet: client and position in the stream.
    buffer[0] = static_cast<std::uint8_t>(packet.flow.client.address);
    buffer[1] = static_cast<std::uint8_t>(packet.sequence / 1200);
  }

  /// Sends everything; returns client and position of each packet in order, and sets `now` to the
  /// time of the last one.
  std::vector<std::pair<int, int>> drain(Instant& now) {
    std::vector<std::pair<int, int>> sent;
    while (const auto turn = scheduler.next_dequeue_at()) {
      now = std::max(now, *turn);
      while (const auto due = scheduler.dequeue(now)) {
        sent.emplace_back(due->bytes[0], due->bytes[1]);
      }
    }
    return sent;
  }
};

}  // namespace

TEST_SUITE("link_scheduler") {
  TEST_CASE("on a link of unknown rate every datagram is sent immediately") {
    LinkModel model(0);
    LinkScheduler scheduler(model);
    for (int i = 0; i < 10'000; ++i) {
      CHECK(scheduler.can_send_immediately(kStart));
      scheduler.on_sent_immediately(kLarge, kStart);
    }
    CHECK_FALSE(scheduler.next_dequeue_at());
  }

  TEST_CASE("queued packets are sent at the link's rate, in sequence order") {
    BusyLink link;
    for (const int position : {3, 0, 2, 1}) {
      link.enqueue(data_packet(7, position * 1200U));
    }
    Instant now = kStart;
    const auto sent = link.drain(now);
    CHECK(sent == std::vector<std::pair<int, int>>{{7, 0}, {7, 1}, {7, 2}, {7, 3}});
    // Four packets of 1,286 bytes on the wire at 237,500 bytes per second, behind the initial
    // backlog.
    CHECK((now - kStart) / milliseconds(1) >= 15);
    CHECK((now - kStart) / milliseconds(1) <= 25);
  }

  TEST_CASE("a short request overtakes queued transfers, and transfers share the link evenly") {
    BusyLink link;
    for (std::uint32_t position = 0; position < 4; ++position) {
      link.enqueue(data_packet(1, position * 1200));
    }
    for (std::uint32_t position = 0; position < 4; ++position) {
      link.enqueue(data_packet(2, position * 1200));
    }
    Instant now = *link.scheduler.next_dequeue_at();
    REQUIRE(link.scheduler.dequeue(now));
    link.enqueue(data_packet(9, 0, 100), now);
    const auto sent = link.drain(now);
    // At most one packet of a transfer is sent before the short request.
    CHECK(sent[1] == std::pair{9, 0});
    int ahead = 0;
    for (const auto& [client_id, position] : sent) {
      ahead += client_id == 1 ? 1 : client_id == 2 ? -1 : 0;
      CHECK(std::abs(ahead) <= 2);
    }
  }

  TEST_CASE("a late transfer yields to one that can still be in time, and does not starve") {
    BusyLink link;
    link.enqueue(data_packet(1, 0));
    Instant now = kStart;
    link.drain(now);
    now = kStart + milliseconds(1300);
    while (link.scheduler.can_send_immediately(now)) {
      link.scheduler.on_sent_immediately(kLarge, now);
    }
    for (std::uint32_t position = 1; position <= 10; ++position) {
      link.enqueue(data_packet(1, position * 1200), now);
      link.enqueue(data_packet(2, position * 1200), now);
    }
    const auto sent = link.drain(now);
    const auto first = std::count_if(sent.begin(), sent.begin() + 10,
                                     [](const auto& entry) { return entry.first == 1; });
    CHECK(first >= 1);
    CHECK(first <= 2);
    CHECK(sent.size() == 20);
  }

  TEST_CASE(
      "retransmissions of queued or recently sent packets are redundant; later ones are not") {
    BusyLink link;
    const ClientPacket packet = data_packet(1, 2400);
    CHECK_FALSE(link.scheduler.is_redundant_retransmission(packet, kStart));
    link.enqueue(packet);
    CHECK(link.scheduler.is_redundant_retransmission(packet, kStart + milliseconds(5)));
    Instant now = kStart;
    link.drain(now);
    CHECK(link.scheduler.is_redundant_retransmission(packet, now + milliseconds(40)));
    // Clients retransmit after 200 ms: when the packet was lost, this retransmission must be
    // forwarded.
    CHECK_FALSE(link.scheduler.is_redundant_retransmission(packet, now + milliseconds(200)));
    CHECK_FALSE(link.scheduler.is_redundant_retransmission(data_packet(1, 3600), now));
    CHECK(link.scheduler.counters().retransmissions_suppressed == 2);
  }

  TEST_CASE(
      "data with the sequence number of an earlier packet without data is not a retransmission") {
    BusyLink link;
    link.enqueue(data_packet(1, 2400, 0));
    Instant now = kStart;
    link.drain(now);
    CHECK_FALSE(
        link.scheduler.is_redundant_retransmission(data_packet(1, 2400), now + milliseconds(10)));
  }

  TEST_CASE("a continuous arrival of new flows does not starve a queued transfer") {
    BusyLink link;
    for (std::uint32_t position = 0; position < 10; ++position) {
      link.enqueue(data_packet(1, position * 1200));
    }
    Instant now = kStart;
    std::uint32_t client_id = 100;
    int transfer_packets = 0;
    for (int turn = 0; turn < 200; ++turn) {
      now = std::max(now, *link.scheduler.next_dequeue_at());
      while (link.scheduler.queued_packets() < 40) {
        link.enqueue(data_packet(++client_id, 0, 260), now);
      }
      while (const auto due = link.scheduler.dequeue(now)) {
        transfer_packets += due->bytes[0] == 1 ? 1 : 0;
      }
    }
    CHECK(transfer_packets >= 2);
  }

  TEST_CASE("the number of flows is bounded") {
    BusyLink link;
    for (std::uint32_t client_id = 0; client_id < 2 * LinkScheduler::kMaxFlows; ++client_id) {
      static_cast<void>(
          link.scheduler.enqueue(data_packet(client_id, 0), kTarget, kLarge, kDeadlines, kStart));
    }
    CHECK(link.scheduler.queued_packets() <= LinkScheduler::kMaxQueuedPackets);
    CHECK(link.scheduler.counters().dropped_queue_full >=
          2 * LinkScheduler::kMaxFlows - LinkScheduler::kMaxQueuedPackets);
  }

  TEST_CASE("an expired packet is dropped, also when its flow continues") {
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

  TEST_CASE("a flow that fills the queue does not displace other flows") {
    BusyLink link;
    link.enqueue(data_packet(2, 0));
    for (std::uint32_t position = 0; position < 2 * LinkScheduler::kMaxQueuedPackets; ++position) {
      static_cast<void>(link.scheduler.enqueue(data_packet(1, position * 1200), kTarget, kLarge,
                                               kDeadlines, kStart));
    }
    CHECK(link.scheduler.queued_packets() == LinkScheduler::kMaxQueuedPackets);
    link.enqueue(data_packet(3, 0));
    CHECK(link.scheduler.queued_packets() == LinkScheduler::kMaxQueuedPackets);
    Instant now = kStart;
    const auto sent = link.drain(now);
    const auto position_of = [&](int client_id) {
      const auto found = std::find_if(sent.begin(), sent.end(),
                                      [&](const auto& entry) { return entry.first == client_id; });
      return found - sent.begin();
    };
    CHECK(position_of(2) <= 1);
    CHECK(position_of(3) <= 2);
    CHECK(link.scheduler.queued_bytes() == 0);
  }

  TEST_CASE("idle flows are removed") {
    BusyLink link;
    for (std::uint32_t client_id = 0; client_id < 200; ++client_id) {
      link.enqueue(data_packet(client_id, 0));
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

  SteeredFlow flow_of(std::uint32_t client_id) { return {{client_id, 1}, {1, 443}}; }

  TEST_CASE("bulk flows are admitted while they can finish before the client timeout") {
    LinkModel model(kRate);
    BulkAdmission admission(model);
    std::uint32_t admitted = 0;
    while (admission.try_admit(flow_of(admitted), kTimeout, kStart)) {
      ++admitted;
      REQUIRE(admitted < 100);
    }
    // 18 flows of 38,400 bytes take 3.9 s at three quarters of the usable rate of 2 Mbit/s.
    CHECK(admitted == 18);
    CHECK(admission.rejected() == 1);
    CHECK(admission.try_admit(flow_of(0), kTimeout, kStart));
    admission.on_data(flow_of(0), 38'400, kStart);
    admission.on_flow_end(flow_of(0), true);
    CHECK(admission.try_admit(flow_of(99), kTimeout, kStart));
  }

  TEST_CASE("a single flow is always admitted, and idle flows do not count") {
    LinkModel slow(1000);
    BulkAdmission admission(slow);
    CHECK(admission.try_admit(flow_of(1), kTimeout, kStart));
    CHECK_FALSE(admission.try_admit(flow_of(2), kTimeout, kStart));
    admission.on_tick(kStart + std::chrono::seconds(3));
    CHECK(admission.try_admit(flow_of(2), kTimeout, kStart));
  }

  TEST_CASE("the average size follows the flows that completed") {
    LinkModel model(kRate);
    BulkAdmission admission(model);
    for (std::uint32_t i = 0; i < 200; ++i) {
      REQUIRE(admission.try_admit(flow_of(i), kTimeout, kStart));
      admission.on_data(flow_of(i), 100'000, kStart);
      admission.on_flow_end(flow_of(i), true);
    }
    CHECK(admission.average_flow_size() == doctest::Approx(100'000).epsilon(0.01));
    // Neither a flow without data nor an aborted flow changes the average.
    REQUIRE(admission.try_admit(flow_of(1000), kTimeout, kStart));
    admission.on_flow_end(flow_of(1000), true);
    REQUIRE(admission.try_admit(flow_of(1001), kTimeout, kStart));
    admission.on_data(flow_of(1001), 1200, kStart);
    admission.on_flow_end(flow_of(1001), false);
    CHECK(admission.average_flow_size() == doctest::Approx(100'000).epsilon(0.01));
  }

  TEST_CASE("admitted flows are bounded; a link of unknown rate rejects no flow") {
    LinkModel model(1e12);
    BulkAdmission admission(model);
    for (std::uint32_t i = 0; i < BulkAdmission::kMaxFlows; ++i) {
      REQUIRE(admission.try_admit(flow_of(i), kTimeout, kStart));
    }
    CHECK_FALSE(admission.try_admit(flow_of(5000), kTimeout, kStart));
    LinkModel unknown_rate_link(0);
    BulkAdmission unknown_rate_admission(unknown_rate_link);
    for (std::uint32_t i = 0; i < 5000; ++i) {
      REQUIRE(unknown_rate_admission.try_admit(flow_of(i), kTimeout, kStart));
    }
    CHECK(unknown_rate_admission.flows() == 0);
  }
}

}  // namespace gorsevalve
