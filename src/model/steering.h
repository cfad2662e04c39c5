/// State of flow steering by reflected tokens: frontends with weighted pools, submitted by
/// operators, and registered targets. Replicated to every balancer; see docs/PLATFORM.md.
#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "model/endpoint.h"
#include "model/settings.h"

namespace gorsevalve {

/// Identifies a target in packets. A restarted target may keep its id; TargetIncarnation
/// distinguishes the two processes.
using TargetId = std::uint64_t;
/// Start time of a target in Unix milliseconds by the clock of its machine; 0 if unknown.
using TargetStart = std::uint64_t;
/// Short identifier of a target that both ends of a flow reflect; never 0 for a target.
using FlowToken = std::uint32_t;
/// Version that an operator assigns to a settings file; the highest one wins.
using OperatorVersion = std::uint64_t;

/// Share of a frontend's new flows that goes to one pool.
struct WeightedPool {
  std::string pool;
  std::uint32_t weight = 0;

  friend bool operator==(const WeightedPool&, const WeightedPool&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& pool& weight;
  }
};

/// Properties of a frontend's requests that affect balancing.
enum class RequestClass : std::uint8_t {
  /// Short messages in both directions; clients may retry.
  kIdempotent = 0,
  /// Short messages in both directions; a request runs at most once. Default for unknown classes,
  /// as it is the most restrictive.
  kNonIdempotent = 1,
  /// Large responses; clients may retry.
  kDownload = 2,
  /// Large requests, which run at most once.
  kUpload = 3,
};

/// Name of a class in logs and metrics.
std::string_view to_string(RequestClass request_class);

/// Address to which clients open flows.
struct Frontend {
  std::string name;
  Endpoint address;
  std::vector<WeightedPool> pools;
  /// Pools of earlier revisions of this frontend, which flows opened under them still use.
  std::vector<std::string> former_pools;
  std::uint32_t timeout_ms = 0;
  std::uint32_t latency_objective_ms = 0;
  RequestClass request_class = RequestClass::kIdempotent;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;

  friend bool operator==(const Frontend&, const Frontend&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& address& pools& former_pools& timeout_ms& latency_objective_ms;
    archive& request_class& priority;
  }
};

/// Group of interchangeable targets.
struct Pool {
  std::string name;
  std::uint32_t max_connections = 0;
  /// How long a target warms up after its start.
  std::uint32_t warm_up_ms = 0;
  /// Limit of new flows to one target that is warming up, over all balancers, in flows per 1,000 s;
  /// 0 for no limit.
  std::uint32_t cold_flows_per_1000_s = 0;

  friend bool operator==(const Pool&, const Pool&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& max_connections& warm_up_ms& cold_flows_per_1000_s;
  }
};

/// Content of one settings file of an operator.
struct SteeringSettings {
  OperatorVersion version = 0;
  std::vector<Frontend> frontends;
  std::vector<Pool> pools;
  /// A flow that was idle for this long may expire.
  std::uint32_t idle_timeout_ms = 0;

  friend bool operator==(const SteeringSettings&, const SteeringSettings&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& version& frontends& pools& idle_timeout_ms;
  }
};

/// Lifecycle phase of a target. Within one incarnation a phase only moves forward, except that a
/// silent target becomes ready again when it announces itself.
enum class TargetPhase : std::uint8_t {
  kReady = 0,
  /// Heartbeats timed out; no new flows while other targets are available.
  kSilent = 1,
  /// Asked to leave; keeps its flows but receives no new ones.
  kDraining = 2,
  /// Announced its end. Its open flows may continue for some time.
  kEnded = 3,
  /// Another target holds its address, so its process and its flows are gone.
  kReplaced = 4,
};

/// One run of a target process. A later incarnation keeps no state of an earlier one and restarts
/// its sequence numbers.
struct TargetIncarnation {
  TargetId id = 0;
  TargetStart started_at_ms = 0;

  friend bool operator==(const TargetIncarnation&, const TargetIncarnation&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& started_at_ms;
  }
};

/// Target as of its latest announcement.
struct RegisteredTarget {
  TargetId id = 0;
  TargetStart started_at_ms = 0;
  FlowToken token = 0;
  std::string pool;
  Endpoint address;
  std::string zone;
  std::uint32_t slots = 1;
  TargetPhase phase = TargetPhase::kReady;
  /// Increases with each announcement of an incarnation.
  std::uint64_t sequence = 0;
  /// Remaining warm-up time at the announcement; 0 when the warm-up is complete.
  std::uint32_t warm_up_ms = 0;

  [[nodiscard]] TargetIncarnation incarnation() const { return {id, started_at_ms}; }
  [[nodiscard]] bool has_ended() const { return phase >= TargetPhase::kEnded; }

  friend bool operator==(const RegisteredTarget&, const RegisteredTarget&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& started_at_ms& token& pool& address& zone& slots& phase& sequence& warm_up_ms;
  }
};

/// Zone whose targets receive no new flows because of an operator's evacuation command.
struct EvacuatedZone {
  std::string zone;
  /// Revision at which the evacuation became effective.
  Revision since = 0;

  friend bool operator==(const EvacuatedZone&, const EvacuatedZone&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& since;
  }
};

/// Targets ordered by id. A B-tree, because an insertion into a sorted array would move all later
/// targets.
using TargetMap = absl::btree_map<TargetId, RegisteredTarget>;

/// Complete steering state. Frontends are ordered by address, targets by id, evacuated zones by
/// name.
struct SteeringState {
  SteeringSettings settings;
  TargetMap targets;
  std::vector<EvacuatedZone> evacuated_zones;

  /// Adds a target, or replaces the one with the same id.
  void put(RegisteredTarget target) {
    const TargetId id = target.id;
    targets.insert_or_assign(id, std::move(target));
  }

  friend bool operator==(const SteeringState&, const SteeringState&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& settings;
    serialize_targets(archive);
    archive& evacuated_zones;
  }

 private:
  /// Serializes the targets as a list, with the same encoding as a vector of them.
  template <class Archive>
  void serialize_targets(Archive& archive) {
    std::uint64_t count = targets.size();
    archive& count;
    if constexpr (Archive::is_saving::value) {
      for (const auto& [id, target] : targets) {
        archive& target;
      }
    } else {
      targets.clear();
      for (std::uint64_t i = 0; i < count && !archive.failed(); ++i) {
        RegisteredTarget target;
        archive& target;
        put(std::move(target));
      }
    }
  }
};

/// Difference between two revisions of the steering state.
struct SteeringDelta {
  /// Set if the settings changed; the fields up to `removed_frontends` are valid only then.
  bool has_settings = false;
  OperatorVersion version = 0;
  std::uint32_t idle_timeout_ms = 0;
  std::vector<Pool> pools;
  std::vector<Frontend> upserted_frontends;
  std::vector<Endpoint> removed_frontends;
  std::vector<RegisteredTarget> upserted_targets;
  std::vector<TargetId> removed_targets;
  /// Set if the evacuated zones changed; `evacuated_zones` then contains all of them.
  bool has_evacuations = false;
  std::vector<EvacuatedZone> evacuated_zones;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& has_settings& version& idle_timeout_ms& pools& upserted_frontends& removed_frontends&
        upserted_targets& removed_targets& has_evacuations& evacuated_zones;
  }
};

}  // namespace gorsevalve
