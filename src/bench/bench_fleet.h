/// In-memory balancer cores for benchmarks.
#pragma once

#include <array>
#include <deque>
#include <memory>

#include "codec/archive.h"
#include "core/balancer/balancer.h"

namespace gorsevalve {

/// Returns a fleet state with the given numbers of members, targets, services and partitions.
FleetState make_bench_fleet(std::uint32_t members, std::uint32_t targets,
                            std::uint32_t services = 1,
                            std::uint32_t partitions = kDefaultPartitions);

/// A balancer that owns all partitions, with clients whose requests are answered immediately.
class BenchBalancer : private BalancerOutput {
 public:
  explicit BenchBalancer(const FleetState& fleet);

  /// Opens flows until `count` are open, with one request each.
  void open_flows(std::uint32_t count);
  /// Sends one request and its response on a flow.
  void exchange(std::uint32_t flow);

 private:
  void send_to_client(const FlowKey& /*flow*/, ByteView /*message*/) override {}
  void send_to_target(const Endpoint& target, const ProxyHeader& header, ByteView message) override;
  void relay(const Endpoint& /*peer*/, const ProxyHeader& /*header*/,
             ByteView /*payload*/) override {}
  void send_peer(const Endpoint& /*peer*/, const PeerMessage& /*message*/) override {}

  FleetState fleet_;
  Balancer balancer_;
  Instant now_{std::chrono::seconds(1000)};
  std::uint32_t opened_ = 0;
  Bytes request_;
  Bytes response_;
  std::array<std::uint8_t, 512> buffer_{};
  Endpoint last_target_;
  ProxyHeader last_header_;
};

/// Two balancers that exchange messages in memory. The first one hands its flows over to the
/// second.
class BenchPair {
 public:
  explicit BenchPair(std::uint32_t flows);
  ~BenchPair();
  BenchPair(const BenchPair&) = delete;
  BenchPair& operator=(const BenchPair&) = delete;

  /// Marks the first balancer as leaving and delivers messages until the handover is complete.
  void hand_over();
  [[nodiscard]] std::size_t flows_at_second() const;
  [[nodiscard]] std::size_t messages() const { return messages_; }
  [[nodiscard]] std::size_t message_bytes() const { return message_bytes_; }

 private:
  struct Node;
  struct QueuedMessage {
    Endpoint from;
    Endpoint to;
    PeerMessage message;
  };
  void deliver_all();

  FleetState fleet_;
  std::deque<QueuedMessage> queue_;
  std::unique_ptr<Node> first_;
  std::unique_ptr<Node> second_;
  Instant now_{std::chrono::seconds(1000)};
  std::size_t messages_ = 0;
  std::size_t message_bytes_ = 0;
};

}  // namespace gorsevalve
