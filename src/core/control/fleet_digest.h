/// Incremental digest of the fleet state: equal states give equal digests in every process. The
/// digest sums element digests, so the cost of an update depends on the size of the change and not
/// on the size of the state.
#pragma once

#include "core/control/fleet_delta.h"
#include "model/fleet.h"

namespace gorsevalve {

class FleetDigest {
 public:
  FleetDigest() : FleetDigest(FleetState{}) {}
  explicit FleetDigest(const FleetState& fleet);

  /// Subtracts the elements that a delta replaces or removes. `fleet` is the state before the
  /// delta.
  void subtract_replaced(const FleetState& fleet, const FleetDelta& delta);
  /// Adds the elements that a delta inserts.
  void add_changed(const FleetDelta& delta);
  /// Digest of `fleet`, which must match the accumulated elements.
  [[nodiscard]] std::uint64_t value(const FleetState& fleet) const;

 private:
  /// Sum of the digests of all services, frontends and targets.
  std::uint64_t element_sum_ = 0;
};

/// Computes the digest of a state from scratch.
std::uint64_t fleet_digest(const FleetState& fleet);

/// Applies a delta and updates the digest. Returns false and changes nothing if the delta is not
/// based on this state's revision.
bool apply_delta(FleetState& fleet, const FleetDelta& delta, FleetDigest& digest);

}  // namespace gorsevalve
