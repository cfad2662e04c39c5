#include "core/balancer/fleet_view.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

constexpr std::uint64_t kOwnerSalt = 0x6F776E6572ULL;
constexpr std::uint64_t kBackupSalt = 0x6261636B7570ULL;
/// Number of slots per target of a service, before rounding up to a power of two.
constexpr std::uint32_t kSlotsPerTarget = 64;

std::uint64_t member_key(const Member& member) { return packed(member.address); }

std::vector<std::uint64_t> hash_paths(const std::vector<std::string>& paths) {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(paths.size());
  for (const auto& path : paths) {
    hashes.push_back(coap_path_hash(path));
  }
  return hashes;
}

std::uint32_t slot_count(const Service& service) {
  const auto targets = std::max<std::size_t>(service.targets.size(), 1);
  return std::bit_ceil(static_cast<std::uint32_t>(targets) * kSlotsPerTarget);
}

std::uint32_t choose_backup(const std::vector<Member>& members, PartitionId partition,
                            std::uint32_t owner) {
  if (owner == kUnassigned) {
    return kUnassigned;
  }
  // The highest score among the members of other zones; a member of the same zone only if there is
  // no other.
  std::uint32_t best = kUnassigned;
  bool best_other_zone = false;
  std::uint64_t best_score = 0;
  for (std::uint32_t i = 0; i < members.size(); ++i) {
    const Member& candidate = members[i];
    if (i == owner || candidate.state != MemberState::kActive) {
      continue;
    }
    const bool other_zone = candidate.zone != members[owner].zone;
    const std::uint64_t score = rendezvous_score(member_key(candidate), partition, kBackupSalt);
    const bool better = best == kUnassigned || (other_zone && !best_other_zone) ||
                        (other_zone == best_other_zone && score > best_score);
    if (better) {
      best = i;
      best_other_zone = other_zone;
      best_score = score;
    }
  }
  return best;
}

/// Marks targets in evacuated zones as draining.
void drain_evacuated_zones(FleetState& fleet) {
  const auto is_evacuated = [&](const Target& target) {
    const auto& zones = fleet.steering.evacuated_zones;
    return std::any_of(zones.begin(), zones.end(), [&](const EvacuatedZone& evacuated) {
      return evacuated.zone == target.zone;
    });
  };
  if (fleet.steering.evacuated_zones.empty()) {
    return;
  }
  for (auto& service : fleet.settings.services) {
    for (auto& target : service.targets) {
      target.draining = target.draining || is_evacuated(target);
    }
  }
}

const Member* member_at(const std::vector<Member>& members, std::uint32_t index) {
  return index == kUnassigned ? nullptr : &members[index];
}

}  // namespace

std::vector<PartitionAssignment> assign_partitions(const std::vector<Member>& members,
                                                   std::uint32_t partitions) {
  std::vector<RendezvousCandidate> candidates;
  candidates.reserve(members.size());
  for (const auto& member : members) {
    candidates.push_back({member_key(member), member.state == MemberState::kActive ? 1U : 0U});
  }
  const std::vector<std::uint32_t> owners = assign_slots(candidates, partitions, kOwnerSalt);
  std::vector<PartitionAssignment> assignments;
  assignments.reserve(partitions);
  for (PartitionId partition = 0; partition < partitions; ++partition) {
    const std::uint32_t owner = owners[partition];
    assignments.push_back({owner, choose_backup(members, partition, owner)});
  }
  return assignments;
}

FleetView::FleetView(FleetState state, const FleetView* previous) : state_(std::move(state)) {
  drain_evacuated_zones(state_);
  assign_all_partitions(previous);
  for (const auto& service : state_.settings.services) {
    add_service(service, previous);
  }
}

void FleetView::assign_all_partitions(const FleetView* previous) {
  const bool same_count = previous != nullptr && previous->state_.partitions == state_.partitions;
  const auto assign = [&](const std::vector<Member>& members) {
    if (same_count && previous->state_.members == members) {
      return previous->partitions_;
    }
    if (same_count && previous->state_.previous_members == members) {
      return previous->previous_partitions_;
    }
    return std::make_shared<const std::vector<PartitionAssignment>>(
        assign_partitions(members, state_.partitions));
  };
  partitions_ = assign(state_.members);
  previous_partitions_ = assign(state_.previous_members);
}

void FleetView::add_service(const Service& service, const FleetView* previous) {
  const ServiceView* before = previous == nullptr ? nullptr : previous->service(service.address);
  ServiceView view;
  if (before != nullptr && *before->service == service) {
    view = *before;
  } else {
    view.repeatable_paths = hash_paths(service.repeatable_paths);
    view.once_only_paths = hash_paths(service.once_only_paths);
    std::vector<RendezvousCandidate> candidates;
    for (const auto& target : service.targets) {
      view.targets.emplace(target.address, static_cast<std::uint32_t>(candidates.size()));
      candidates.push_back({packed(target.address), target.draining ? 0 : target.weight});
    }
    view.slots = assign_slots(candidates, slot_count(service), packed(service.address));
  }
  view.service = &service;
  services_.emplace(service.address, std::move(view));
}

const ServiceView* FleetView::service(const Endpoint& address) const {
  const auto found = services_.find(address);
  return found == services_.end() ? nullptr : &found->second;
}

const Target* FleetView::target(const ServiceView& service, const Endpoint& address) const {
  const auto found = service.targets.find(address);
  return found == service.targets.end() ? nullptr : &service.service->targets[found->second];
}

PartitionId FleetView::partition_of(const FlowKey& flow, const ServiceView& service) const {
  const std::uint32_t spread = std::clamp(service.service->owner_spread, 1U, state_.partitions);
  const std::array<std::uint64_t, 2> words = {packed(flow.service), flow_hash(flow) % spread};
  return static_cast<PartitionId>(XXH3_64bits(words.data(), sizeof(words)) % state_.partitions);
}

const Member* FleetView::owner(PartitionId partition) const {
  return member_at(state_.members, (*partitions_)[partition].owner);
}

const Member* FleetView::backup(PartitionId partition) const {
  return member_at(state_.members, (*partitions_)[partition].backup);
}

const Member* FleetView::previous_owner(PartitionId partition) const {
  return member_at(state_.previous_members, (*previous_partitions_)[partition].owner);
}

const Member* FleetView::previous_backup(PartitionId partition) const {
  return member_at(state_.previous_members, (*previous_partitions_)[partition].backup);
}

const Target* FleetView::slot_target(const ServiceView& service, std::uint64_t hash) const {
  const std::uint32_t index = service.slots[hash & (service.slots.size() - 1)];
  return index == kUnassigned ? nullptr : &service.service->targets[index];
}

const Target* FleetView::first_choice(const ServiceView& service, const FlowKey& flow) const {
  // The low bits of the hash select the partition. The slot uses the high bits, so that the flows
  // of one partition spread over all targets.
  constexpr unsigned kHighBits = 32;
  return slot_target(service, flow_hash(flow) >> kHighBits);
}

const Target* FleetView::second_choice(const ServiceView& service, const FlowKey& flow) const {
  return slot_target(service, flow_hash_alternative(flow));
}

double FleetView::owned_share(const Endpoint& member) const {
  if (partitions_->empty()) {
    return 0;
  }
  const auto owned =
      std::count_if(partitions_->begin(), partitions_->end(), [&](const PartitionAssignment& a) {
        return a.owner != kUnassigned && state_.members[a.owner].address == member;
      });
  return static_cast<double>(owned) / static_cast<double>(partitions_->size());
}

const Member* FleetView::member(const Endpoint& address, std::uint64_t incarnation) const {
  const auto found =
      std::find_if(state_.members.begin(), state_.members.end(), [&](const Member& member) {
        return member.address == address && member.incarnation == incarnation;
      });
  return found == state_.members.end() ? nullptr : &*found;
}

}  // namespace gorsevalve
