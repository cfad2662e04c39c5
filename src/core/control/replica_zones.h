/// In which zones the replicas of control run, so that each target can be told of one replica in
/// its own zone to keep to: announcements of all targets are the larger part of what control
/// carries between zones, and spread over the replicas as their hashes are. The leader learns zones
/// from the followers' reports and tells them to all. A state machine without clocks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/endpoint.h"
#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

struct ReplicaZone {
  Endpoint replica;
  std::string zone;

  friend bool operator==(const ReplicaZone&, const ReplicaZone&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& replica& zone;
  }
};

class ReplicaZones {
 public:
  /// This replica became the leader: it goes by what the one before told until all have reported.
  void on_elected(Instant now);
  /// The leader's own place, and what a follower reported.
  void on_reported(const ReplicaZone& reported, Instant now);
  /// Drops replicas that have not reported for long; to be called by the leader each tick.
  void on_tick(Instant now);
  /// What the leader told a follower.
  void on_told(std::vector<ReplicaZone> told);

  /// Replicas that are up, by their addresses.
  [[nodiscard]] const std::vector<ReplicaZone>& replicas() const { return replicas_; }
  /// Tells lists of replicas apart; 0 before the first one.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// The replica that a target in a zone should keep to; nothing when none is known there.
  [[nodiscard]] std::optional<Endpoint> home_of(TargetId target, const std::string& zone) const;

 private:
  struct Reported {
    std::string zone;
    Instant at;
  };

  void set(std::vector<ReplicaZone> replicas);

  std::map<Endpoint, Reported> reported_;
  /// No list is made from reports before this.
  Instant lists_from_;
  Instant listed_at_;
  std::vector<ReplicaZone> replicas_;
  std::uint64_t digest_ = 0;
};

}  // namespace gorsevalve
