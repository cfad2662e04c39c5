/// Invariants of a simulated run: what was seen to break them, and the checkers that watch state
/// while the run goes on.
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

/// What an operator was told about one submission.
struct ReportedOutcome {
  SubmissionOutcome outcome;
  Revision base = 0;
};

class InvariantChecker {
 public:
  InvariantChecker(const EventQueue& events, Trace& trace) : events_(events), trace_(trace) {}

  void report_violation(Invariant invariant, const std::string& detail);
  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }

  /// A process has this state in force: the same revision must be the same state everywhere.
  void on_state(const std::string& process, Revision revision, std::uint64_t digest);
  /// A process puts a revision in force after another; `before` also over its own restarts.
  void on_revision(const std::string& process, Revision before, Revision after);
  /// A replica acts as leader of a term.
  void on_leader(Term term, ReplicaId replica);
  void on_outcome(const ReportedOutcome& told);
  /// At the end: what operators were told against the history that was kept (a linearizability
  /// check for a register that is only changed by compare-and-set on its revision).
  void check_history(const std::vector<RevisionInfo>& history);

 private:
  void check_accepted(const ReportedOutcome& told, const std::map<Revision, RevisionInfo>& history);

  const EventQueue& events_;
  Trace& trace_;
  std::vector<Violation> violations_;
  std::map<Revision, std::uint64_t> digests_;
  std::map<Term, ReplicaId> leaders_;
  std::map<SubmissionId, ReportedOutcome> outcomes_;
};

}  // namespace gorsevalve
