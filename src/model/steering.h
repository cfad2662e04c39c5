/// State of flow steering by reflected tokens: frontends with weighted pools, as operators submit
/// them, and the targets that announced themselves. Replicated to every balancer; see
/// docs/PLATFORM.md.
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

/// Number that a target goes by in packets. A restarted target mostly has another one, but it may
/// keep the one that it had: TargetIncarnation tells the two starts apart.
using TargetId = std::uint64_t;
/// When a target started, in Unix milliseconds by its own machine's clock; 0 when it didn't tell.
using TargetStart = std::uint64_t;
/// Short name of a target that both ends of a flow reflect; never 0 for a target.
using FlowToken = std::uint32_t;
/// Version that the operator gives to a whole file; the highest one holds.
using OperatorVersion = std::uint64_t;

/// A share of a frontend's new flows that goes to one pool.
struct WeightedPool {
  std::string pool;
  std::uint32_t weight = 0;

  friend bool operator==(const WeightedPool&, const WeightedPool&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& pool& weight;
  }
};

/// What the requests of a frontend are like, as far as balancing depends on it.
enum class RequestClass : std::uint8_t {
  /// Short both ways; callers may send it again.
  kIdempotent = 0,
  /// Short both ways; runs at most once. The most careful class: unknown ones count as it.
  kNonIdempotent = 1,
  /// The target sends much; callers may send it again.
  kDownload = 2,
  /// The caller sends much; runs at most once.
  kUpload = 3,
};

/// Name of a class in logs and metrics.
std::string_view to_string(RequestClass request_class);

/// An address that callers open flows to.
struct Frontend {
  std::string name;
  Endpoint address;
  std::vector<WeightedPool> pools;
  /// Pools of earlier revisions of this frontend: flows that opened then stay there.
  std::vector<std::string> former_pools;
  std::uint32_t timeout_ms = 0;
  std::uint32_t latency_objective_ms = 0;
  RequestClass request_class = RequestClass::kIdempotent;
  /// 0 is served first.
  std::uint32_t priority = 0;

  friend bool operator==(const Frontend&, const Frontend&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& address& pools& former_pools& timeout_ms& latency_objective_ms;
    archive& request_class& priority;
  }
};

/// Interchangeable targets.
struct Pool {
  std::string name;
  std::uint32_t max_connections = 0;
  /// How long a target that has just started is cold.
  std::uint32_t warm_up_ms = 0;
  /// New flows that one cold target takes in 1,000 s, from all balancers together; 0 for no bound.
  std::uint32_t cold_flows_per_1000_s = 0;

  friend bool operator==(const Pool&, const Pool&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& max_connections& warm_up_ms& cold_flows_per_1000_s;
  }
};

/// One whole file of an operator.
struct SteeringSettings {
  OperatorVersion version = 0;
  std::vector<Frontend> frontends;
  std::vector<Pool> pools;
  /// A flow may be forgotten when it has rested for this long.
  std::uint32_t idle_timeout_ms = 0;

  friend bool operator==(const SteeringSettings&, const SteeringSettings&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& version& frontends& pools& idle_timeout_ms;
  }
};

/// How far a target is in its life. Phases only grow within one life, except that a silent target
/// that announces itself again is ready again.
enum class TargetPhase : std::uint8_t {
  kReady = 0,
  /// Heartbeats stopped: no new flows while there is another target.
  kSilent = 1,
  /// Asked to leave: keeps its flows, gets no new ones.
  kDraining = 2,
  /// Said that it leaves for good. Its open flows may go on for some time.
  kEnded = 3,
};

/// One life of a target, from one start to the end of that process. A later life holds nothing of
/// an earlier one, and counts its announcements anew.
struct TargetIncarnation {
  TargetId id = 0;
  TargetStart started_at_ms = 0;

  friend bool operator==(const TargetIncarnation&, const TargetIncarnation&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& started_at_ms;
  }
};

/// A target as it announced itself last.
struct RegisteredTarget {
  TargetId id = 0;
  TargetStart started_at_ms = 0;
  FlowToken token = 0;
  std::string pool;
  Endpoint address;
  std::string zone;
  std::uint32_t slots = 1;
  TargetPhase phase = TargetPhase::kReady;
  /// Rises with each announcement of one life.
  std::uint64_t sequence = 0;
  /// How long the target stays slow, from its announcement on; 0 when it is warm.
  std::uint32_t warm_up_ms = 0;

  [[nodiscard]] TargetIncarnation incarnation() const { return {id, started_at_ms}; }

  friend bool operator==(const RegisteredTarget&, const RegisteredTarget&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& started_at_ms& token& pool& address& zone& slots& phase& sequence& warm_up_ms;
  }
};

/// A zone whose targets get no new flows, by an operator's order.
struct EvacuatedZone {
  std::string zone;
  /// When the order came into force.
  Revision since = 0;

  friend bool operator==(const EvacuatedZone&, const EvacuatedZone&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& since;
  }
};

/// Targets in the order of their ids. A tree, since a change of one target must not move others: in
/// a sorted array a new one moved half of them, 1,999 of 4,000, at each replica and each balancer.
using TargetMap = absl::btree_map<TargetId, RegisteredTarget>;

/// Everything that steering depends on. Frontends are ordered by address, targets by id, evacuated
/// zones by name.
struct SteeringState {
  SteeringSettings settings;
  TargetMap targets;
  std::vector<EvacuatedZone> evacuated_zones;

  /// Adds a target, or replaces the one that has its id.
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
  /// As a list, each target with its id: octet by octet what a vector of them would be.
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

/// What changed between two revisions of the steering state.
struct SteeringDelta {
  /// Set when the settings changed; the fields up to `removed_frontends` are then valid.
  bool has_settings = false;
  OperatorVersion version = 0;
  std::uint32_t idle_timeout_ms = 0;
  std::vector<Pool> pools;
  std::vector<Frontend> upserted_frontends;
  std::vector<Endpoint> removed_frontends;
  std::vector<RegisteredTarget> upserted_targets;
  std::vector<TargetId> removed_targets;
  /// Set when the evacuated zones changed; `evacuated_zones` then has all of them.
  bool has_evacuations = false;
  std::vector<EvacuatedZone> evacuated_zones;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& has_settings& version& idle_timeout_ms& pools& upserted_frontends& removed_frontends&
        upserted_targets& removed_targets& has_evacuations& evacuated_zones;
  }
};

}  // namespace gorsevalve
