/// Which control replica an observer talks to. It keeps to one replica that is current, spread over
/// the replicas by its own address; without one it searches, that is, asks all of them at once, so
/// that replicas without power or behind a cut cost no time. A state machine without sockets.
#pragma once

#include <vector>

#include "model/endpoint.h"

namespace gorsevalve {

class ReplicaChoice {
 public:
  /// Begins with a search among the seeds.
  ReplicaChoice(const Endpoint& self, std::vector<Endpoint> seeds);

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
  void take_replicas(const std::vector<Endpoint>& replicas);
  void set_seeds(std::vector<Endpoint> seeds);
  /// The replica that this observer should be at, so that observers spread evenly (rendezvous
  /// hashing); the chosen one when none is known.
  [[nodiscard]] Endpoint home() const;

 private:
  void collect_candidates();

  Endpoint self_;
  std::vector<Endpoint> seeds_;
  std::vector<Endpoint> replicas_;
  std::vector<Endpoint> candidates_;
  Endpoint chosen_;
  bool searching_ = true;
};

}  // namespace gorsevalve
