/// Everything that a balancer derives from one revision of the fleet state: which balancer owns
/// each partition, which one backs it up, and which target each slot of a service belongs to.
/// Immutable; equal fleet states give equal views in every process.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/balancer/records.h"
#include "model/fleet.h"

namespace gorsevalve {

/// Owner and backup of one partition, as indexes into FleetState::members, or kUnassigned.
struct PartitionAssignment {
  std::uint32_t owner;
  std::uint32_t backup;
};

/// A service with its slot table.
struct ServiceView {
  const Service* service = nullptr;
  /// Index into Service::targets for each slot, or kUnassigned; the size is a power of two.
  std::vector<std::uint32_t> slots;
  /// Index into Service::targets by address.
  absl::flat_hash_map<Endpoint, std::uint32_t> targets;
  /// Path rules as hashes.
  std::vector<std::uint64_t> repeatable_paths;
  std::vector<std::uint64_t> once_only_paths;
};

/// Owner and backup of every partition under a list of members. A partition without an active
/// member has neither; the backup is in another zone than the owner where there is one.
std::vector<PartitionAssignment> assign_partitions(const std::vector<Member>& members,
                                                   std::uint32_t partitions);

class FleetView {
 public:
  /// Tables that did not change since `previous` (which may be nullptr) are taken from it.
  explicit FleetView(FleetState state, const FleetView* previous = nullptr);
  FleetView(const FleetView&) = delete;
  FleetView& operator=(const FleetView&) = delete;

  /// The state; targets in evacuated zones count as draining in it.
  [[nodiscard]] const FleetState& state() const { return state_; }
  [[nodiscard]] Revision members_revision() const { return state_.members_revision; }

  /// The service at an address, or nullptr.
  [[nodiscard]] const ServiceView* service(const Endpoint& address) const;

  /// The target of the service with this address, or nullptr when the service does not have it.
  [[nodiscard]] const Target* target(const ServiceView& service, const Endpoint& address) const;

  /// Partition of a flow. The service must exist.
  [[nodiscard]] PartitionId partition_of(const FlowKey& flow, const ServiceView& service) const;

  /// Owner or backup of a partition; nothing when there is none.
  [[nodiscard]] const Member* owner(PartitionId partition) const;
  [[nodiscard]] const Member* backup(PartitionId partition) const;

  /// The same under the members before the last change.
  [[nodiscard]] const Member* previous_owner(PartitionId partition) const;
  [[nodiscard]] const Member* previous_backup(PartitionId partition) const;

  /// True when no balancer can have decided anything before this membership.
  [[nodiscard]] bool is_first_membership() const { return state_.members_epoch <= 1; }

  /// First and second choice of target for a flow; equal when there is only one. nullptr when no
  /// target takes new work.
  [[nodiscard]] const Target* first_choice(const ServiceView& service, const FlowKey& flow) const;
  [[nodiscard]] const Target* second_choice(const ServiceView& service, const FlowKey& flow) const;

  /// Share of all partitions that a member owns, 0 to 1.
  [[nodiscard]] double owned_share(const Endpoint& member) const;

  /// The member at this address with this incarnation, or nullptr.
  [[nodiscard]] const Member* member(const Endpoint& address, std::uint64_t incarnation) const;

 private:
  void assign_all_partitions(const FleetView* previous);
  void add_service(const Service& service, const FleetView* previous);
  [[nodiscard]] const Target* slot_target(const ServiceView& service, std::uint64_t hash) const;

  FleetState state_;
  /// Shared between the views of one membership.
  std::shared_ptr<const std::vector<PartitionAssignment>> partitions_;
  std::shared_ptr<const std::vector<PartitionAssignment>> previous_partitions_;
  absl::flat_hash_map<Endpoint, ServiceView> services_;
};

}  // namespace gorsevalve
