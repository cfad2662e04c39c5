/// Which control replica a balancer talks to. It keeps to one replica that is current: its home,
/// spread by its own address over the replicas of its zone, since bytes between zones are dear.
/// Without one it searches, that is, asks all of them at once, so that replicas without power or
/// behind a cut cost no time. A state machine without sockets.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "model/endpoint.h"

namespace gorsevalve {

class ReplicaSelector {
 public:
  /// Begins with a search among the seeds. `zone` may be empty: then all replicas are alike.
  ReplicaSelector(const Endpoint& self, std::string zone, std::vector<Endpoint> seeds);

  [[nodiscard]] bool is_searching() const { return searching_; }
  /// The replica that is asked; meaningful while there is no search.
  [[nodiscard]] const Endpoint& chosen() const { return chosen_; }
  /// Replicas that a search asks: those that replicas have told, and the seeds.
  [[nodiscard]] const std::vector<Endpoint>& candidates() const { return candidates_; }

  /// The chosen replica is silent or not current: all are asked again.
  void begin_search();
  /// A replica has shown that it is current.
  void choose(const Endpoint& replica);
  /// Takes the replicas that a current one named. Searches when the chosen one is not among them.
  void set_replicas(const std::vector<Endpoint>& replicas);
  void set_seeds(std::vector<Endpoint> seeds);
  /// A replica told its zone.
  void set_zone(const Endpoint& replica, const std::string& zone);
  /// The replica that this balancer should be at, so that balancers spread evenly (rendezvous
  /// hashing) over the replicas of their zone, or over all where the zone has none; the chosen one
  /// when none is known.
  [[nodiscard]] Endpoint preferred() const;
  /// Replicas whose zone is not known yet.
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
