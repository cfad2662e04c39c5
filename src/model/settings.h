/// The declarative settings that operators submit as a whole, after checking.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/endpoint.h"

namespace gorsevalve {

/// Number of an accepted change. Grows by at least one with each change and never goes back.
using Revision = std::uint64_t;

/// One back end of a service.
struct Target {
  std::string name;
  Endpoint address;
  std::string zone;
  /// Share of new flows relative to the other targets of the service, 1 to 1000.
  std::uint32_t weight = 100;
  /// A draining target keeps its feeds and downloads and gets no new work.
  bool draining = false;
  /// Requests that the target runs at once.
  std::uint32_t slots = 2;
  std::uint32_t max_connections = 2000;
  /// HTTP address of the health and load endpoints; port 0 when there is none.
  Endpoint health;

  friend bool operator==(const Target&, const Target&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& address& zone& weight& draining& slots& max_connections& health;
  }
};

/// One virtual service: an address before a set of targets.
struct Service {
  std::string name;
  Endpoint address;
  /// Paths ("/a/b") whose POST and PATCH requests may be repeated although their method may not.
  std::vector<std::string> repeatable_paths;
  /// Paths whose requests run at most once although their method is idempotent.
  std::vector<std::string> once_only_paths;
  /// How long a request may wait for a target and its answer.
  std::uint32_t request_timeout_ms = 4000;
  /// Ownership partitions that the flows of this service spread over, at most
  /// FleetState::partitions. Fewer mean fewer balancers that share each target's limits.
  std::uint32_t owner_spread = 64;
  /// Requests that wait for one target at one balancer before new ones are refused.
  std::uint32_t queue_limit = 32;
  /// Bounds of the come-back time given with a verdict.
  std::uint32_t retry_after_min_s = 1;
  std::uint32_t retry_after_max_s = 5;
  std::vector<Target> targets;

  friend bool operator==(const Service&, const Service&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& address& repeatable_paths& once_only_paths& request_timeout_ms& owner_spread&
        queue_limit& retry_after_min_s& retry_after_max_s& targets;
  }
};

/// All settings of one deployment.
struct Settings {
  std::string deployment;
  std::vector<Service> services;

  friend bool operator==(const Settings&, const Settings&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& deployment& services;
  }
};

}  // namespace gorsevalve
