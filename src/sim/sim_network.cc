#include "sim/sim_network.h"

#include <algorithm>

#include "codec/archive.h"

namespace gorsevalve {
namespace {

/// Bytes per message: envelope (52), TCP/IP or UDP/IP headers (40 or 28), frame length (4).
constexpr std::size_t kStreamOverhead = 52 + 40 + 4;
constexpr std::size_t kPeerOverhead = 52 + 28;
constexpr std::size_t kDatagramOverhead = 28;
constexpr int kNoZone = -1;

template <typename Variant>
std::size_t encoded_size(const Variant& message) {
  return std::visit([](const auto& body) { return encode_archive(body).size(); }, message);
}

std::pair<std::uint32_t, std::uint32_t> ordered_pair(const Endpoint& a, const Endpoint& b) {
  return std::minmax(a.address, b.address);
}

}  // namespace

int SimNetwork::zone_of(const Endpoint& process) const {
  const auto found = zones_.find(process.address);
  return found == zones_.end() ? kNoZone : found->second;
}

void SimNetwork::block(const Endpoint& a, const Endpoint& b) {
  blocked_.insert(ordered_pair(a, b));
}

void SimNetwork::heal() {
  isolated_zones_.clear();
  isolated_group_.clear();
  isolated_.clear();
  blocked_.clear();
}

bool SimNetwork::is_reachable(const Endpoint& a, const Endpoint& b) const {
  if (a.address == b.address) {
    return true;
  }
  if (isolated_.contains(a.address) || isolated_.contains(b.address) ||
      blocked_.contains(ordered_pair(a, b))) {
    return false;
  }
  const int zone_a = zone_of(a);
  const int zone_b = zone_of(b);
  if (zone_a == zone_b || zone_a == kNoZone || zone_b == kNoZone) {
    return true;
  }
  const bool group_cut = isolated_group_.contains(zone_a) != isolated_group_.contains(zone_b);
  return !isolated_zones_.contains(zone_a) && !isolated_zones_.contains(zone_b) && !group_cut;
}

Duration SimNetwork::delay(const Endpoint& from, const Endpoint& to) {
  const bool local = zone_of(from) == zone_of(to);
  const Duration base = local ? config_.intra_zone_delay : config_.inter_zone_delay;
  return base + random_.between(Duration::zero(), config_.jitter);
}

void SimNetwork::schedule(const Endpoint& to, Duration delay, SimMessage message) {
  events_.after(delay, [this, to, message = std::move(message)] {
    if (is_reachable(message.from, to)) {
      receiver_.deliver(to, message);
    }
  });
}

void SimNetwork::send_datagram(const Endpoint& from, const Endpoint& to, Bytes datagram,
                               TrafficKind kind) {
  traffic_[from][static_cast<std::size_t>(kind)] += datagram.size() + kDatagramOverhead;
  trace_.add("datagram", events_.now(), from, to, datagram);
  if (!is_reachable(from, to) || random_.chance(config_.loss)) {
    return;
  }
  const bool is_duplicated = random_.chance(config_.duplication);
  if (is_duplicated) {
    schedule(to, delay(from, to) + delay(from, to), {from, datagram});
  }
  schedule(to, delay(from, to), {from, std::move(datagram)});
}

void SimNetwork::send_peer(const Endpoint& from, const Endpoint& to, const PeerMessage& message) {
  const std::size_t size = encoded_size(message);
  traffic_[from][static_cast<std::size_t>(TrafficKind::kPeer)] += size + kPeerOverhead;
  trace_.add("peer", events_.now(), from, to, size);
  if (!is_reachable(from, to) || random_.chance(config_.loss)) {
    return;
  }
  if (random_.chance(config_.duplication)) {
    schedule(to, delay(from, to) + delay(from, to), {from, message});
  }
  schedule(to, delay(from, to), {from, message});
}

void SimNetwork::send_node(const Endpoint& from, const Endpoint& to, const NodeMessage& message) {
  send_stream(from, to, {from, message}, encoded_size(message), TrafficKind::kNode);
}

void SimNetwork::send_replica(const Endpoint& from, const Endpoint& to,
                              const ReplicaMessage& message) {
  constexpr std::size_t kSenderAndTerm = 16;
  send_stream(from, to, {from, message}, encoded_size(message.body) + kSenderAndTerm,
              TrafficKind::kReplica);
}

void SimNetwork::send_stream(const Endpoint& from, const Endpoint& to, SimMessage message,
                             std::size_t size, TrafficKind kind) {
  traffic_[from][static_cast<std::size_t>(kind)] += size + kStreamOverhead;
  trace_.add(kind == TrafficKind::kNode ? "node" : "replica", events_.now(), from, to, size);
  if (!is_reachable(from, to) || random_.chance(config_.reset)) {
    return;
  }
  Instant& last = last_arrivals_[{from, to}];
  last = std::max(last + Duration(1), events_.now() + delay(from, to));
  schedule(to, last - events_.now(), std::move(message));
}

}  // namespace gorsevalve
