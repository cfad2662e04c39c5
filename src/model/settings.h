/// Declarative settings, submitted by operators as a whole file and validated.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/endpoint.h"

namespace gorsevalve {

/// Revision number of an accepted change. Increases by at least one with each change.
using Revision = std::uint64_t;

/// One backend of a service.
struct Target {
  std::string name;
  Endpoint address;
  std::string zone;
  /// Share of new flows relative to the other targets of the service, 1 to 1000.
  std::uint32_t weight = 100;
  /// A draining target keeps its observations and downloads, and gets no new requests.
  bool draining = false;
  /// Number of requests that the target runs concurrently.
  std::uint32_t slots = 2;
  std::uint32_t max_connections = 2000;
  /// HTTP address of the health and load endpoints; port 0 when the target has none.
  Endpoint health;

  friend bool operator==(const Target&, const Target&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& address& zone& weight& draining& slots& max_connections& health;
  }
};

/// A virtual service: one address in front of a set of targets.
struct Service {
  std::string name;
  Endpoint address;
  /// Paths ("/a/b") whose POST and PATCH requests are idempotent although their methods are not.
  std::vector<std::string> repeatable_paths;
  /// Paths whose requests run at most once although their method is idempotent.
  std::vector<std::string> once_only_paths;
  /// Maximum time that a request waits for a target and for its response.
  std::uint32_t request_timeout_ms = 4000;
  /// Number of ownership partitions that the flows of this service are spread over, at most
  /// FleetState::partitions. With fewer partitions, fewer balancers share the limits of each
  /// target.
  std::uint32_t owner_spread = 64;
  /// Maximum number of requests queued for one target at one balancer; further ones are rejected.
  std::uint32_t queue_limit = 32;
  /// Bounds of the retry delay that is sent with a verdict.
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
