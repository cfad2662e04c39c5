/// Entries of the log that callers wait for: answers each when it is decided or took too long.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/control/control_node.h"
#include "model/time.h"

namespace gorsevalve {

/// Answer to a steering command, an evacuation or an announcement.
enum class SteeringStatus : std::uint8_t {
  /// Committed, or the committed state says the same already.
  kAcknowledged = 0,
  /// Nothing was done here; `leader` names whom to ask, if it is known.
  kNotLeader = 1,
  /// Whether it is in force may go either way.
  kUnknown = 2,
  /// Nothing was done: there is no such zone; `known_zones` names those that there are.
  kUnknownZone = 3,
};

struct SteeringReply {
  SteeringStatus status = SteeringStatus::kNotLeader;
  std::optional<Endpoint> leader;
  std::vector<std::string> known_zones{};
};

using SteeringCallback = std::function<void(const SteeringReply&)>;

class PendingProposals {
 public:
  /// What an entry is about, for the log: an operator's file, an evacuation, or registrations.
  using Subject = std::variant<std::monostate, OperatorVersion, EvacuationCommand>;

  struct PendingProposal {
    Proposal proposal;
    std::vector<SteeringCallback> callbacks;
    Subject subject;
    Instant proposed_at;
    Instant deadline;
  };

  void add(PendingProposal waiting) { pending_.push_back(std::move(waiting)); }
  /// Answers the callers of all entries that are decided by now, or whose deadline has passed.
  void complete(const ControlNode& node, Instant now);

 private:
  std::vector<PendingProposal> pending_;
};

}  // namespace gorsevalve
