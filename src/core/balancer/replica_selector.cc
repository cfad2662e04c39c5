#include "core/balancer/replica_selector.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

constexpr std::uint64_t kPreferredReplicaSalt = 0x686F6D65ULL;

bool contains(const std::vector<Endpoint>& list, const Endpoint& wanted) {
  return std::find(list.begin(), list.end(), wanted) != list.end();
}

}  // namespace

ReplicaSelector::ReplicaSelector(const Endpoint& self, std::string zone,
                                 std::vector<Endpoint> seeds)
    : self_(self), zone_(std::move(zone)), seeds_(std::move(seeds)) {
  collect_candidates();
}

void ReplicaSelector::collect_candidates() {
  candidates_ = replicas_;
  for (const auto& seed : seeds_) {
    if (!contains(candidates_, seed)) {
      candidates_.push_back(seed);
    }
  }
}

void ReplicaSelector::begin_search() { searching_ = true; }

void ReplicaSelector::choose(const Endpoint& replica) {
  chosen_ = replica;
  searching_ = false;
}

void ReplicaSelector::set_replicas(const std::vector<Endpoint>& replicas) {
  if (replicas.empty() || replicas == replicas_) {
    return;
  }
  replicas_ = replicas;
  collect_candidates();
  searching_ = searching_ || !contains(replicas_, chosen_);
}

void ReplicaSelector::set_seeds(std::vector<Endpoint> seeds) {
  if (seeds.empty()) {
    return;
  }
  seeds_ = std::move(seeds);
  collect_candidates();
}

void ReplicaSelector::set_zone(const Endpoint& replica, const std::string& zone) {
  zones_[replica] = zone;
}

std::vector<Endpoint> ReplicaSelector::with_unknown_zone() const {
  std::vector<Endpoint> result;
  std::copy_if(known().begin(), known().end(), std::back_inserter(result),
               [this](const Endpoint& replica) { return !zones_.contains(replica); });
  return result;
}

Endpoint ReplicaSelector::preferred() const {
  const auto is_in_own_zone = [this](const Endpoint& replica) {
    const auto found = zones_.find(replica);
    return !zone_.empty() && found != zones_.end() && found->second == zone_;
  };
  const auto score = [&](const Endpoint& replica) {
    const std::uint64_t key = packed(self_) ^ (packed(replica) << 16U);
    return std::pair(is_in_own_zone(replica), rendezvous_score(key, 0, kPreferredReplicaSalt));
  };
  const auto best =
      std::max_element(known().begin(), known().end(),
                       [&](const Endpoint& a, const Endpoint& b) { return score(a) < score(b); });
  return best == known().end() ? chosen_ : *best;
}

}  // namespace gorsevalve
