#include "core/steering/flow_table.h"

namespace gorsevalve {
namespace {

/// How long an opening or closing flow may retransmit.
constexpr Duration kHandshakeTimeout = std::chrono::seconds(4);

}  // namespace

FlowEntry* FlowTable::find(const SteeredFlow& flow) {
  const auto found = entries_.find(flow);
  return found == entries_.end() ? nullptr : &found->second;
}

FlowEntry* FlowTable::insert(const SteeredFlow& flow, const FlowEntry& entry) {
  if (entries_.size() >= kMaxEntries) {
    return nullptr;
  }
  FlowEntry& slot = entries_[flow];
  slot = entry;
  return &slot;
}

void FlowTable::visit_open(const EntryVisitor& visit) {
  for (auto& [flow, entry] : entries_) {
    if (entry.phase == FlowPhase::kOpen) {
      visit(flow, entry);
    }
  }
}

void FlowTable::visit_open(TargetId target, const EntryVisitor& visit) {
  visit_open([&](const SteeredFlow& flow, FlowEntry& entry) {
    if (entry.target == target) {
      visit(flow, entry);
    }
  });
}

void FlowTable::expire(Duration idle_timeout, Instant now, const Visitor& on_expired) {
  absl::erase_if(entries_, [&](const auto& item) {
    const FlowEntry& entry = item.second;
    const Duration allowed = entry.phase == FlowPhase::kOpen ? idle_timeout : kHandshakeTimeout;
    const bool expired = now - entry.last_seen > allowed;
    if (expired) {
      on_expired(entry);
    }
    return expired;
  });
}

}  // namespace gorsevalve
