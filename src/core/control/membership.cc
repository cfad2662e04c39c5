#include "core/control/membership.h"

#include <algorithm>

#include "core/control/timing.h"

namespace gorsevalve {
namespace {

const Member* find_member(const FleetState& fleet, const Endpoint& address) {
  const auto found = std::find_if(fleet.members.begin(), fleet.members.end(),
                                  [&](const Member& member) { return member.address == address; });
  return found == fleet.members.end() ? nullptr : &*found;
}

bool has_completed_handover(const NodeEntry* entry, Revision members_revision) {
  return entry != nullptr && entry->status.settled_revision >= members_revision;
}

}  // namespace

void MembershipController::on_elected(Instant now) {
  elected_at_ = now;
  handover_revision_ = 0;
  batch_started_at_.reset();
}

void MembershipController::add_timed_out_members(const FleetState& fleet, const NodeRegistry& nodes,
                                                 Instant now, MembersCommand& change) const {
  if (now - elected_at_ < control_timing::kMemberTimeout) {
    return;
  }
  for (const auto& member : fleet.members) {
    const NodeEntry* entry = nodes.find(member.address);
    const bool replaced =
        entry != nullptr && entry->status.member.incarnation != member.incarnation;
    const bool timed_out =
        entry == nullptr || now - entry->last_seen > control_timing::kMemberTimeout;
    if (timed_out || replaced) {
      change.removed.push_back(member.address);
    }
  }
}

bool MembershipController::add_joins_and_leaves(const FleetState& fleet, const NodeRegistry& nodes,
                                                Instant now, MembersCommand& change) const {
  bool any = false;
  for (const auto& [address, entry] : nodes.nodes()) {
    if (now - entry.last_seen > control_timing::kMemberTimeout) {
      continue;
    }
    const Member& reported = entry.status.member;
    const Member* member = find_member(fleet, address);
    const bool joins = member == nullptr && reported.state == MemberState::kActive &&
                       !removed_incarnations_.contains(reported.incarnation);
    const bool leaves = member != nullptr && member->incarnation == reported.incarnation &&
                        member->state != reported.state;
    if (joins || leaves) {
      change.upserted.push_back(reported);
      any = true;
    }
  }
  return any;
}

void MembershipController::record_removed_incarnations(const FleetState& fleet,
                                                       const MembersCommand& change) {
  for (const auto& address : change.removed) {
    if (const Member* member = find_member(fleet, address)) {
      removed_incarnations_.insert(member->incarnation);
    }
  }
}

bool MembershipController::is_handover_complete(const FleetState& fleet,
                                                const NodeRegistry& nodes) {
  return std::all_of(fleet.members.begin(), fleet.members.end(), [&](const Member& member) {
    return has_completed_handover(nodes.find(member.address), fleet.members_revision);
  });
}

std::optional<MembersCommand> MembershipController::next_change(const FleetState& fleet,
                                                                const NodeRegistry& nodes,
                                                                Instant now) {
  if (handover_revision_ != fleet.members_revision) {
    handover_revision_ = fleet.members_revision;
    handover_started_at_ = now;
  }
  MembersCommand change;
  add_timed_out_members(fleet, nodes, now, change);
  if (!change.removed.empty()) {
    record_removed_incarnations(fleet, change);
    return change;
  }
  const bool handover_complete = is_handover_complete(fleet, nodes) ||
                                 now - handover_started_at_ > control_timing::kHandoverTimeout;
  if (!handover_complete || !add_joins_and_leaves(fleet, nodes, now, change)) {
    batch_started_at_.reset();
    return std::nullopt;
  }
  // Batches changes that arrive together into one, which needs one state transfer instead of
  // several.
  batch_started_at_ = batch_started_at_.value_or(now);
  if (now - *batch_started_at_ < control_timing::kMembershipBatchWindow) {
    return std::nullopt;
  }
  batch_started_at_.reset();
  return change;
}

std::vector<Endpoint> MembershipController::members_safe_to_stop(const FleetState& fleet,
                                                                 const NodeRegistry& nodes) {
  std::vector<Endpoint> result;
  const bool handover_complete =
      std::all_of(fleet.members.begin(), fleet.members.end(), [&](const Member& member) {
        return member.state == MemberState::kLeaving ||
               has_completed_handover(nodes.find(member.address), fleet.members_revision);
      });
  if (!handover_complete) {
    return result;
  }
  for (const auto& member : fleet.members) {
    const NodeEntry* entry = nodes.find(member.address);
    const bool handed_over = entry != nullptr && entry->status.settled_revision != 0;
    if (member.state == MemberState::kLeaving && handed_over) {
      result.push_back(member.address);
    }
  }
  return result;
}

}  // namespace gorsevalve
