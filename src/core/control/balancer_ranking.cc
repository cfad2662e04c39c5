#include "core/control/balancer_ranking.h"

#include <algorithm>
#include <utility>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kRankHashSalt = 0x706c61636500ULL;
/// A balancer without a heartbeat to this replica for this long uses another replica or has failed.
constexpr Duration kLocalExpiry = seconds(4);
/// A failed balancer keeps its rank for this long. Its share of a budget stays unused, whereas a
/// smaller count would let balancers exceed the budget until all of them have received it.
constexpr Duration kRankExpiry = seconds(60);
/// Three report intervals, after which a new leader knows all balancers. Earlier ranks would have
/// too small a count.
constexpr Duration kElectionGracePeriod = seconds(3);
constexpr Duration kRankingInterval = seconds(1);
/// Ranks expire on a replica without an update from the leader for this long.
constexpr Duration kRankLifetime = seconds(10);

}  // namespace

void BalancerRanking::on_heartbeat(const Endpoint& balancer, Instant now) {
  local_last_seen_[balancer] = now;
  last_seen_[balancer] = now;
}

std::vector<Endpoint> BalancerRanking::local_balancers(Instant now) const {
  std::vector<Endpoint> balancers;
  for (const auto& [balancer, seen_at] : local_last_seen_) {
    if (now - seen_at < kLocalExpiry) {
      balancers.push_back(balancer);
    }
  }
  return balancers;
}

void BalancerRanking::on_ranks_received(const std::vector<RankedBalancer>& ranks, Instant now) {
  std::erase_if(local_last_seen_,
                [&](const auto& entry) { return now - entry.second > kRankExpiry; });
  if (ranks.empty()) {
    // A new leader has not assigned ranks yet; keep those of the previous leader.
    return;
  }
  ranks_.clear();
  ranks_updated_at_ = now;
  for (const auto& ranked : ranks) {
    ranks_[ranked.balancer] = ranked.rank;
  }
}

void BalancerRanking::on_elected(Instant now) {
  last_seen_ = local_last_seen_;
  ranks_.clear();
  ranking_starts_at_ = now + kElectionGracePeriod;
}

void BalancerRanking::on_reported(const std::vector<Endpoint>& balancers, Instant now) {
  for (const auto& balancer : balancers) {
    last_seen_[balancer] = now;
  }
}

void BalancerRanking::assign_ranks(Instant now) {
  if (now < ranking_starts_at_ || now - ranks_updated_at_ < kRankingInterval) {
    return;
  }
  ranks_updated_at_ = now;
  std::erase_if(local_last_seen_,
                [&](const auto& entry) { return now - entry.second > kRankExpiry; });
  std::erase_if(last_seen_, [&](const auto& entry) { return now - entry.second > kRankExpiry; });
  // Ranks follow the order of hashes, which spreads the balancers of one zone, as they often fail
  // or restart together.
  std::vector<std::pair<std::uint64_t, Endpoint>> order;
  order.reserve(last_seen_.size());
  for (const auto& [balancer, seen_at] : last_seen_) {
    order.emplace_back(rendezvous_score(packed(balancer), 0, kRankHashSalt), balancer);
  }
  std::sort(order.begin(), order.end());
  ranks_.clear();
  const auto count = static_cast<std::uint32_t>(order.size());
  for (std::uint32_t number = 0; number < count; ++number) {
    ranks_[order[number].second] = {number, count};
  }
}

std::vector<RankedBalancer> BalancerRanking::ranks_of(const std::vector<Endpoint>& balancers,
                                                      Instant now) const {
  std::vector<RankedBalancer> result;
  for (const auto& balancer : balancers) {
    const BalancerRank current_rank = rank_of(balancer, now);
    if (current_rank.count > 0) {
      result.push_back({balancer, current_rank});
    }
  }
  return result;
}

BalancerRank BalancerRanking::rank_of(const Endpoint& balancer, Instant now) const {
  const auto found = ranks_.find(balancer);
  const bool is_known = found != ranks_.end() && now - ranks_updated_at_ < kRankLifetime;
  return is_known ? found->second : BalancerRank{};
}

}  // namespace gorsevalve
