/// Seeded network between simulated processes: delay, jitter, loss, duplication, reordering and
/// partitions. Datagrams may be lost, duplicated and reordered; streams keep their order and lose
/// messages only at a connection reset or a partition.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "core/balancer/peer_messages.h"
#include "core/control/node_messages.h"
#include "core/control/replica_messages.h"
#include "sim/event_queue.h"
#include "sim/sim_random.h"
#include "sim/trace.h"

namespace gorsevalve {

struct NetworkConfig {
  Duration inter_zone_delay = std::chrono::microseconds(1500);
  Duration intra_zone_delay = std::chrono::microseconds(150);
  /// Maximum random addition to each delay; large enough to reorder messages.
  Duration jitter = std::chrono::microseconds(800);
  /// Probabilities per datagram.
  double loss = 0.002;
  double duplication = 0.002;
  /// Probability per stream message that the connection is reset and the message lost.
  double reset = 0.0002;
};

/// A message in flight.
struct SimMessage {
  Endpoint from;
  std::variant<Bytes, PeerMessage, NodeMessage, ReplicaMessage> body;
};

/// Kinds of traffic that are counted separately.
enum class TrafficKind : std::uint8_t { kData = 0, kRelay = 1, kPeer = 2, kNode = 3, kReplica = 4 };
constexpr std::size_t kTrafficKindCount = 5;

/// Bytes sent by one process per traffic kind, including headers and message envelopes.
using TrafficCounters = std::array<std::uint64_t, kTrafficKindCount>;

/// Receives what the network delivers.
class SimReceiver {
 public:
  virtual ~SimReceiver() = default;
  virtual void deliver(const Endpoint& to, const SimMessage& message) = 0;
};

class SimNetwork {
 public:
  SimNetwork(EventQueue& events, SimRandom& random, Trace& trace, SimReceiver& receiver,
             NetworkConfig config)
      : events_(events), random_(random), trace_(trace), receiver_(receiver), config_(config) {}

  /// Sets the zone of a process. A process without a zone is reachable from all zones.
  void set_zone(const Endpoint& process, int zone) { zones_[process.address] = zone; }

  void send_datagram(const Endpoint& from, const Endpoint& to, Bytes datagram, TrafficKind kind);
  void send_peer(const Endpoint& from, const Endpoint& to, const PeerMessage& message);
  void send_node(const Endpoint& from, const Endpoint& to, const NodeMessage& message);
  void send_replica(const Endpoint& from, const Endpoint& to, const ReplicaMessage& message);

  /// Partitions a zone from all others, in both directions.
  void isolate_zone(int zone) { isolated_zones_.insert(zone); }
  /// Partitions a group of zones from the rest; zones of the group reach each other.
  void isolate_zones(std::set<int> zones) { isolated_group_ = std::move(zones); }
  /// Partitions one process from all others.
  void isolate(const Endpoint& process) { isolated_.insert(process.address); }
  void block(const Endpoint& a, const Endpoint& b);
  void heal();
  [[nodiscard]] bool is_reachable(const Endpoint& a, const Endpoint& b) const;

  /// Sets the loss and duplication probabilities of datagrams.
  void set_faults(double loss, double duplication) {
    config_.loss = loss;
    config_.duplication = duplication;
  }
  [[nodiscard]] const NetworkConfig& config() const { return config_; }

  [[nodiscard]] const std::map<Endpoint, TrafficCounters>& traffic() const { return traffic_; }
  void clear_traffic() { traffic_.clear(); }

 private:
  void schedule(const Endpoint& to, Duration delay, SimMessage message);
  void send_stream(const Endpoint& from, const Endpoint& to, SimMessage message, std::size_t size,
                   TrafficKind kind);
  [[nodiscard]] Duration delay(const Endpoint& from, const Endpoint& to);
  [[nodiscard]] int zone_of(const Endpoint& process) const;

  EventQueue& events_;
  SimRandom& random_;
  Trace& trace_;
  SimReceiver& receiver_;
  NetworkConfig config_;
  std::map<std::uint32_t, int> zones_;
  std::set<int> isolated_zones_;
  std::set<int> isolated_group_;
  std::set<std::uint32_t> isolated_;
  std::set<std::pair<std::uint32_t, std::uint32_t>> blocked_;
  /// Arrival time of the last stream message per sender and receiver.
  std::map<std::pair<Endpoint, Endpoint>, Instant> last_arrivals_;
  std::map<Endpoint, TrafficCounters> traffic_;
};

}  // namespace gorsevalve
