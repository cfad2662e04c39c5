/// Everything that a balancer derives from one revision of the fleet state: the owner and the
/// backup of each partition, and the target of each slot of a service. Immutable; equal fleet
/// states give equal views in every process.
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
  /// Hashes of the paths that the settings declare as idempotent and as non-idempotent.
  std::vector<std::uint64_t> repeatable_paths;
  std::vector<std::uint64_t> once_only_paths;
};

/// Returns owner and backup of every partition under a list of members. Without an active member
/// there is neither; the backup is in another zone than the owner if possible.
std::vector<PartitionAssignment> assign_partitions(const std::vector<Member>& members,
                                                   std::uint32_t partitions);

class FleetView {
 public:
  /// Reuses the tables of `previous` (which may be nullptr) that have not changed.
  explicit FleetView(FleetState state, const FleetView* previous = nullptr);
  FleetView(const FleetView&) = delete;
  FleetView& operator=(const FleetView&) = delete;

  /// The fleet state, with targets in evacuated zones marked as draining.
  [[nodiscard]] const FleetState& state() const { return state_; }
  [[nodiscard]] Revision members_revision() const { return state_.members_revision; }

  /// The service at an address, or nullptr.
  [[nodiscard]] const ServiceView* service(const Endpoint& address) const;

  /// The target of the service with this address, or nullptr when the service does not have it.
  [[nodiscard]] const Target* target(const ServiceView& service, const Endpoint& address) const;

  /// Partition of a flow. The service must exist.
  [[nodiscard]] PartitionId partition_of(const FlowKey& flow, const ServiceView& service) const;

  /// Owner or backup of a partition, or nullptr.
  [[nodiscard]] const Member* owner(PartitionId partition) const;
  [[nodiscard]] const Member* backup(PartitionId partition) const;

  /// Owner or backup under the members before the last change, or nullptr.
  [[nodiscard]] const Member* previous_owner(PartitionId partition) const;
  [[nodiscard]] const Member* previous_backup(PartitionId partition) const;

  /// True when no balancer can have served a partition before this membership.
  [[nodiscard]] bool is_first_membership() const { return state_.members_epoch <= 1; }

  /// First and second choice of target for a flow; equal when there is only one. nullptr when no
  /// target accepts new work.
  [[nodiscard]] const Target* first_choice(const ServiceView& service, const FlowKey& flow) const;
  [[nodiscard]] const Target* second_choice(const ServiceView& service, const FlowKey& flow) const;

  /// Fraction of all partitions that a member owns, 0 to 1.
  [[nodiscard]] double owned_share(const Endpoint& member) const;

  /// The member at this address with this incarnation, or nullptr.
  [[nodiscard]] const Member* member(const Endpoint& address, std::uint64_t incarnation) const;

 private:
  void assign_all_partitions(const FleetView* previous);
  void add_service(const Service& service, const FleetView* previous);
  [[nodiscard]] const Target* slot_target(const ServiceView& service, std::uint64_t hash) const;

  FleetState state_;
  /// Shared between all views of one membership.
  std::shared_ptr<const std::vector<PartitionAssignment>> partitions_;
  std::shared_ptr<const std::vector<PartitionAssignment>> previous_partitions_;
  absl::flat_hash_map<Endpoint, ServiceView> services_;
};

}  // namespace gorsevalve
