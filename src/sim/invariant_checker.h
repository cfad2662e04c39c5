/// Invariants of a simulated run. Records violations and checks state, revisions, leaders and
/// submission outcomes while the run proceeds.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/control/control_state.h"
#include "core/control/log_entry.h"
#include "model/settings.h"
#include "model/time.h"
#include "sim/event_queue.h"
#include "sim/trace.h"

namespace gorsevalve {

enum class Invariant : std::uint8_t {
  kWrongResponse,
  kMisroutedDatagram,
  kDuplicateExecution,
  kExecutedDespiteNotRun,
  kLostUpdate,
  kBrokenFlow,
  kObservationMoved,
  kRequestFailed,
  kVerdictWithoutRetryDelay,
  kNewWorkAfterDrain,
  kRevisionRegressed,
  kStateDiverged,
  kNotConverged,
  kSlowApply,
  kTwoLeaders,
  kTwoLeaseHolders,
  kInconsistentHistory,
  kHandoverIncomplete,
};

std::string_view to_string(Invariant invariant);

struct Violation {
  Invariant invariant;
  std::string detail;
};

/// Outcome of one submission as reported to its operator.
struct ReportedOutcome {
  SubmissionOutcome outcome;
  Revision base = 0;
};

class InvariantChecker {
 public:
  InvariantChecker(const EventQueue& events, Trace& trace) : events_(events), trace_(trace) {}

  void report_violation(Invariant invariant, const std::string& detail);
  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }

  /// Called when a process has applied a state: equal revisions must have equal digests.
  void on_state(const std::string& process, Revision revision, std::uint64_t digest);
  /// Called when a process applies `after` following `before`, also across its restarts.
  void on_revision(const std::string& process, Revision before, Revision after);
  /// Called when a replica is the leader of a term: each term has at most one leader.
  void on_leader(Term term, ReplicaId replica);
  void on_outcome(const ReportedOutcome& reported);
  /// Compares the reported outcomes with the final history: a linearizability check for a register
  /// that changes only by compare-and-set on its revision.
  void check_history(const std::vector<RevisionInfo>& history);

 private:
  void check_accepted(const ReportedOutcome& reported,
                      const std::map<Revision, RevisionInfo>& history);

  const EventQueue& events_;
  Trace& trace_;
  std::vector<Violation> violations_;
  std::map<Revision, std::uint64_t> digests_;
  std::map<Term, ReplicaId> leaders_;
  std::map<SubmissionId, ReportedOutcome> outcomes_;
};

}  // namespace gorsevalve
