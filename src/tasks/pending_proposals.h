/// Proposed log entries whose clients wait for the outcome.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/control/control_node.h"
#include "model/time.h"

namespace gorsevalve {

/// Outcome of a steering command, an evacuation command or a registration.
enum class CommandStatus : std::uint8_t {
  /// Committed, or already part of the committed state.
  kAcknowledged = 0,
  /// Not processed; `leader` names the leader, if known.
  kNotLeader = 1,
  /// The outcome is unknown: the command may or may not be committed.
  kUnknown = 2,
  /// Rejected: the zone does not exist. `known_zones` lists the existing ones.
  kUnknownZone = 3,
};

struct CommandReply {
  CommandStatus status = CommandStatus::kNotLeader;
  std::optional<Endpoint> leader;
  std::vector<std::string> known_zones{};
};

using CommandCallback = std::function<void(const CommandReply&)>;

class PendingProposals {
 public:
  /// Content of an entry, for log lines: a steering file, an evacuation command, or registrations.
  using Subject = std::variant<std::monostate, OperatorVersion, EvacuationCommand>;

  struct PendingProposal {
    Proposal proposal;
    std::vector<CommandCallback> callbacks;
    Subject subject;
    Instant proposed_at;
    Instant deadline;
  };

  void add(PendingProposal pending) { pending_.push_back(std::move(pending)); }
  /// Completes all entries that are committed or superseded, and those past their deadline as
  /// unknown.
  void complete(const ControlNode& node, Instant now);

 private:
  std::vector<PendingProposal> pending_;
};

}  // namespace gorsevalve
