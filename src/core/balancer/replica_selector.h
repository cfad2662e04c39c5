/// Selects the control replica that a balancer subscribes to. A balancer keeps to one current
/// replica, by preference one in its own zone, to limit traffic between zones. Without a current
/// replica it searches: it contacts all candidates at once, so that unreachable replicas cause no
/// delay. Deterministic; does no I/O and reads no clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "model/endpoint.h"

namespace gorsevalve {

class ReplicaSelector {
 public:
  /// Starts with a search among the seeds. `zone` may be empty: then no replica is preferred for
  /// its zone.
  ReplicaSelector(const Endpoint& self, std::string zone, std::vector<Endpoint> seeds);

  [[nodiscard]] bool is_searching() const { return searching_; }
  /// The selected replica; valid while no search is in progress.
  [[nodiscard]] const Endpoint& chosen() const { return chosen_; }
  /// Replicas that a search contacts: those named by current replicas, and the seeds.
  [[nodiscard]] const std::vector<Endpoint>& candidates() const { return candidates_; }

  /// Starts a search, when the chosen replica does not reply or is not current.
  void begin_search();
  /// Selects a replica that has shown that it is current, and ends the search.
  void choose(const Endpoint& replica);
  /// Sets the replicas that a current replica named. Starts a search when the chosen one is not
  /// among them.
  void set_replicas(const std::vector<Endpoint>& replicas);
  void set_seeds(std::vector<Endpoint> seeds);
  /// Sets the zone that a replica reported.
  void set_zone(const Endpoint& replica, const std::string& zone);
  /// The replica that this balancer should use: rendezvous hashing spreads balancers evenly over
  /// the replicas of their zone, or over all when the zone has none. The chosen replica when none
  /// is known.
  [[nodiscard]] Endpoint preferred() const;
  /// Replicas whose zone is unknown.
  [[nodiscard]] std::vector<Endpoint> with_unknown_zone() const;

 private:
  void collect_candidates();

  [[nodiscard]] const std::vector<Endpoint>& known() const {
    return replicas_.empty() ? seeds_ : replicas_;
  }

  Endpoint self_;
  std::string zone_;
  std::map<Endpoint, std::string> zones_;
  std::vector<Endpoint> seeds_;
  std::vector<Endpoint> replicas_;
  std::vector<Endpoint> candidates_;
  Endpoint chosen_;
  bool searching_ = true;
};

}  // namespace gorsevalve
