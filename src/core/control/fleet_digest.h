/// Digest of a whole fleet state: equal states give equal digests in every process. The digests of
/// the elements are added up, so that a change costs what it changes.
#pragma once

#include "core/control/fleet_delta.h"
#include "model/fleet.h"

namespace gorsevalve {

class FleetDigest {
 public:
  FleetDigest() : FleetDigest(FleetState{}) {}
  explicit FleetDigest(const FleetState& fleet);

  /// Takes out the elements that a change replaces; `fleet` is the state before it.
  void subtract_replaced(const FleetState& fleet, const FleetDelta& delta);
  /// Adds the elements that a change brings.
  void add_changed(const FleetDelta& delta);
  /// The digest of `fleet`, whose elements were added.
  [[nodiscard]] std::uint64_t value(const FleetState& fleet) const;

 private:
  /// Sum over services, frontends and targets.
  std::uint64_t element_sum_ = 0;
};

/// Digest of a state from nothing.
std::uint64_t fleet_digest(const FleetState& fleet);

/// Applies a delta and keeps the digest; false, and nothing is changed, when it is not based on
/// this state's revision.
bool apply_delta(FleetState& fleet, const FleetDelta& delta, FleetDigest& digest);

}  // namespace gorsevalve
