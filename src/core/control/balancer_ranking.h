/// Assigns each balancer a rank among all balancers, for budgets that they share. The leader ranks
/// the balancers that sent heartbeats to any replica; followers relay the ranks to the balancers
/// that they serve. Not persisted; a new leader assigns ranks again.
#pragma once

#include <map>
#include <vector>

#include "model/balancer_rank.h"
#include "model/time.h"

namespace gorsevalve {

class BalancerRanking {
 public:
  /// Records a heartbeat of a balancer that receives updates from this replica.
  void on_heartbeat(const Endpoint& balancer, Instant now);

  /// Balancers that recently sent a heartbeat to this replica, for a report to the leader.
  [[nodiscard]] std::vector<Endpoint> local_balancers(Instant now) const;
  /// Stores the ranks that the leader sent to this follower.
  void on_ranks_received(const std::vector<RankedBalancer>& ranks, Instant now);

  /// Called when this replica becomes the leader.
  void on_elected(Instant now);
  /// Records the balancers that a follower serves.
  void on_reported(const std::vector<Endpoint>& balancers, Instant now);
  /// Assigns ranks to all known balancers; called periodically on the leader.
  void assign_ranks(Instant now);
  /// Returns the ranks of the balancers that a follower reported.
  [[nodiscard]] std::vector<RankedBalancer> ranks_of(const std::vector<Endpoint>& balancers,
                                                     Instant now) const;

  /// Returns the rank of one balancer; its count is 0 if the rank is unknown or has expired.
  [[nodiscard]] BalancerRank rank_of(const Endpoint& balancer, Instant now) const;

 private:
  /// Time of the last heartbeat to this replica, by balancer.
  std::map<Endpoint, Instant> local_last_seen_;
  /// Time of the last heartbeat to any replica, by balancer; complete on the leader only.
  std::map<Endpoint, Instant> last_seen_;
  std::map<Endpoint, BalancerRank> ranks_;
  Instant ranks_updated_at_;
  Instant ranking_starts_at_;
};

}  // namespace gorsevalve
