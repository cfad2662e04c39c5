#include "core/balancer/replica_choice.h"

#include <algorithm>
#include <utility>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

constexpr std::uint64_t kHomeSalt = 0x686F6D65ULL;

bool contains(const std::vector<Endpoint>& list, const Endpoint& wanted) {
  return std::find(list.begin(), list.end(), wanted) != list.end();
}

}  // namespace

ReplicaChoice::ReplicaChoice(const Endpoint& self, std::vector<Endpoint> seeds)
    : self_(self), seeds_(std::move(seeds)) {
  collect_candidates();
}

void ReplicaChoice::collect_candidates() {
  candidates_ = replicas_;
  for (const auto& seed : seeds_) {
    if (!contains(candidates_, seed)) {
      candidates_.push_back(seed);
    }
  }
}

void ReplicaChoice::begin_search() { searching_ = true; }

void ReplicaChoice::choose(const Endpoint& replica) {
  chosen_ = replica;
  searching_ = false;
}

void ReplicaChoice::take_replicas(const std::vector<Endpoint>& replicas) {
  if (replicas.empty() || replicas == replicas_) {
    return;
  }
  replicas_ = replicas;
  collect_candidates();
  searching_ = searching_ || !contains(replicas_, chosen_);
}

void ReplicaChoice::set_seeds(std::vector<Endpoint> seeds) {
  if (seeds.empty()) {
    return;
  }
  seeds_ = std::move(seeds);
  collect_candidates();
}

Endpoint ReplicaChoice::home() const {
  const std::vector<Endpoint>& known = replicas_.empty() ? seeds_ : replicas_;
  const auto score = [this](const Endpoint& replica) {
    return rendezvous_score(packed(self_) ^ (packed(replica) << 16U), 0, kHomeSalt);
  };
  const auto best =
      std::max_element(known.begin(), known.end(),
                       [&](const Endpoint& a, const Endpoint& b) { return score(a) < score(b); });
  return best == known.end() ? chosen_ : *best;
}

}  // namespace gorsevalve
