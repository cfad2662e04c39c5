#include "tasks/pending_proposals.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "tasks/log.h"

namespace gorsevalve {
namespace {

void log_decision(const PendingProposals::PendingProposal& pending, const ControlNode& node,
                  bool committed, Instant now) {
  nlohmann::json fields = {{"index", pending.proposal.index},
                           {"term", pending.proposal.term},
                           {"outcome", committed ? "acknowledged" : "unknown"},
                           {"us", (now - pending.proposed_at).count()}};
  if (const auto* version = std::get_if<OperatorVersion>(&pending.subject)) {
    fields["version"] = *version;
    log_event(LogEvent::kSteeringDecided, fields);
  } else if (const auto* evacuation = std::get_if<EvacuationCommand>(&pending.subject)) {
    fields["zone"] = evacuation->zone;
    fields["order"] = to_string(evacuation->action);
    fields["pools_without_targets"] = pools_without_targets(node.state().fleet());
    log_event(LogEvent::kEvacuationDecided, fields);
  } else {
    log_event(LogEvent::kRegistrationsDecided, fields);
  }
}

}  // namespace

void PendingProposals::complete(const ControlNode& node, Instant now) {
  std::vector<PendingProposal> still_pending;
  for (auto& pending : std::exchange(pending_, {})) {
    const ProposalStatus status = node.status(pending.proposal);
    if (status == ProposalStatus::kPending && now < pending.deadline) {
      still_pending.push_back(std::move(pending));
      continue;
    }
    const bool committed = status == ProposalStatus::kCommitted;
    log_decision(pending, node, committed, now);
    for (const auto& callback : pending.callbacks) {
      callback({committed ? CommandStatus::kAcknowledged : CommandStatus::kUnknown, {}});
    }
  }
  // Callbacks may have added proposals.
  std::move(pending_.begin(), pending_.end(), std::back_inserter(still_pending));
  pending_ = std::move(still_pending);
}

}  // namespace gorsevalve
