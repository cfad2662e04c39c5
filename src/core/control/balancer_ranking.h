/// Gives each balancer a place among all of them, for what they share by turns. The leader numbers
/// the balancers that it and its followers heard; a follower passes on what it was told. Memory
/// only: a new leader numbers them again.
#pragma once

#include <map>
#include <vector>

#include "model/balancer_rank.h"
#include "model/time.h"

namespace gorsevalve {

class BalancerRanking {
 public:
  /// A balancer that gets updates from this replica reported.
  void on_heartbeat(const Endpoint& balancer, Instant now);

  /// Balancers that reported to this replica lately, for its report to the leader.
  [[nodiscard]] std::vector<Endpoint> local_balancers(Instant now) const;
  /// What a follower was told of the balancers that it serves.
  void on_ranks_received(const std::vector<RankedBalancer>& told, Instant now);

  /// This replica leads from now on.
  void on_elected(Instant now);
  /// Balancers that a follower serves.
  void on_reported(const std::vector<Endpoint>& balancers, Instant now);
  /// Numbers the balancers that were heard; to be called while this replica leads.
  void assign_ranks(Instant now);
  /// The places of the balancers that a follower reported.
  [[nodiscard]] std::vector<RankedBalancer> ranks_of(const std::vector<Endpoint>& balancers,
                                                     Instant now) const;

  /// Place of one balancer; a count of 0 while it is not known, or was not confirmed for long.
  [[nodiscard]] BalancerRank rank_of(const Endpoint& balancer, Instant now) const;

 private:
  /// When each balancer was heard here.
  std::map<Endpoint, Instant> local_last_seen_;
  /// When each balancer was heard anywhere, at the leader.
  std::map<Endpoint, Instant> last_seen_;
  std::map<Endpoint, BalancerRank> ranks_;
  Instant ranks_updated_at_;
  Instant ranking_starts_at_;
};

}  // namespace gorsevalve
