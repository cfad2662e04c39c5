/// Decides which of several targets registered at one address holds it, and therefore which of
/// them are gone. An address belongs to one process at a time, but neither the order of
/// registrations nor their phases show to which: a target that crashed stays registered until its
/// heartbeats time out, one that announced its end keeps serving its flows, and a delayed heartbeat
/// registers a target that crashed before. Two things do show it: heartbeats that continue, and a
/// flow that a balancer saw opening at a target. Until one of them has decided, no target is
/// reported. Not persisted; a new leader starts to observe anew.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "model/endpoint.h"
#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// A target that is registered at an address with others.
struct AddressClaim {
  TargetIncarnation incarnation;
  /// When its last announcement was received; nullopt if there was none since `clear`.
  std::optional<Instant> heard_at;
  /// False if the settings do not name its pool. Such a registration may come from another writer
  /// that does not own the address, so it replaces no target.
  bool may_hold = true;
};

/// Claims by address, only for addresses with more than one.
using AddressClaims = std::map<Endpoint, std::vector<AddressClaim>>;

class AddressHolders {
 public:
  /// A target holds its address once it was heard for `observation_time`, without a gap of that
  /// length, while no other target at the address was heard. Must exceed the time over which
  /// delayed heartbeats arrive.
  explicit AddressHolders(Duration observation_time) : observation_time_(observation_time) {}

  void clear() {
    candidates_.clear();
    observed_.clear();
  }
  /// A balancer saw a flow opening at another target of the address, after it knew this one. Counts
  /// at the next `find_replaced`, unless this target was heard last: the balancer may have taken a
  /// packet of an earlier flow for the answer.
  void on_replacement_observed(const TargetIncarnation& target) { observed_.push_back(target); }
  /// Returns the incarnations whose address another target holds, ordered by address. Call
  /// regularly, more often than targets announce themselves.
  [[nodiscard]] std::vector<TargetIncarnation> find_replaced(const AddressClaims& shared);

 private:
  /// The target of an address that was heard last.
  struct Candidate {
    TargetIncarnation incarnation;
    /// The time in which this target was heard and no other.
    Instant heard_from;
    Instant heard_until;
  };

  /// Returns the claim that was heard last, or nullptr if none may hold the address.
  static const AddressClaim* heard_last(const std::vector<AddressClaim>& claims);
  /// Returns true if another target than the candidate was heard in the candidate's time.
  static bool is_other_heard(const std::vector<AddressClaim>& claims, const Candidate& candidate);
  [[nodiscard]] bool is_observed(const TargetIncarnation& target) const;
  /// Updates the candidate of an address. Returns true if it holds the address.
  [[nodiscard]] bool is_holder(const std::vector<AddressClaim>& claims, const AddressClaim& last,
                               Candidate& candidate) const;

  Duration observation_time_;
  std::map<Endpoint, Candidate> candidates_;
  /// Targets that a balancer saw replaced since the last `find_replaced`.
  std::vector<TargetIncarnation> observed_;
};

}  // namespace gorsevalve
