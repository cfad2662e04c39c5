#include "sim/invariant_checker.h"

namespace gorsevalve {

std::string_view to_string(Invariant invariant) {
  switch (invariant) {
    case Invariant::kWrongResponse:
      return "wrong_answer";
    case Invariant::kMisroutedDatagram:
      return "foreign_datagram";
    case Invariant::kDuplicateExecution:
      return "doubled_execution";
    case Invariant::kExecutedDespiteNotRun:
      return "false_not_run";
    case Invariant::kLostUpdate:
      return "false_done";
    case Invariant::kBrokenFlow:
      return "broken_flow";
    case Invariant::kObservationMoved:
      return "feed_moved";
    case Invariant::kRequestFailed:
      return "request_cut";
    case Invariant::kVerdictWithoutRetryDelay:
      return "verdict_without_time";
    case Invariant::kNewWorkAfterDrain:
      return "late_new_work";
    case Invariant::kRevisionRegressed:
      return "revision_went_back";
    case Invariant::kStateDiverged:
      return "state_diverged";
    case Invariant::kNotConverged:
      return "not_converged";
    case Invariant::kSlowApply:
      return "slow_force";
    case Invariant::kTwoLeaders:
      return "two_leaders";
    case Invariant::kTwoLeaseHolders:
      return "two_leases";
    case Invariant::kInconsistentHistory:
      return "submission_history";
    case Invariant::kHandoverIncomplete:
      return "not_settled";
  }
  return "unknown";
}

void InvariantChecker::report_violation(Invariant invariant, const std::string& detail) {
  trace_.note(events_.now(), "VIOLATION " + std::string(to_string(invariant)) + " " + detail);
  violations_.push_back({invariant, detail});
}

void InvariantChecker::on_state(const std::string& process, Revision revision,
                                std::uint64_t digest) {
  const auto [known, is_new] = digests_.emplace(revision, digest);
  if (!is_new && known->second != digest) {
    report_violation(Invariant::kStateDiverged,
                     process + " at revision " + std::to_string(revision));
  }
}

void InvariantChecker::on_revision(const std::string& process, Revision before, Revision after) {
  if (after < before) {
    report_violation(Invariant::kRevisionRegressed,
                     process + " from " + std::to_string(before) + " to " + std::to_string(after));
  }
}

void InvariantChecker::on_leader(Term term, ReplicaId replica) {
  const auto [known, is_new] = leaders_.emplace(term, replica);
  if (!is_new && known->second != replica) {
    report_violation(Invariant::kTwoLeaders, "term " + std::to_string(term));
  }
}

void InvariantChecker::on_outcome(const ReportedOutcome& told) {
  const auto [known, is_new] = outcomes_.emplace(told.outcome.id, told);
  if (!is_new && !(known->second.outcome == told.outcome)) {
    report_violation(Invariant::kInconsistentHistory,
                     told.outcome.id + " got two different outcomes");
  }
}

void InvariantChecker::check_accepted(const ReportedOutcome& told,
                                      const std::map<Revision, RevisionInfo>& history) {
  const auto entry = history.find(told.outcome.revision);
  if (entry == history.end() || entry->second.submission != told.outcome.id) {
    report_violation(Invariant::kInconsistentHistory,
                     told.outcome.id + " was accepted but is not in the history");
    return;
  }
  const Revision before = entry == history.begin() ? 0 : std::prev(entry)->first;
  if (before != told.base) {
    report_violation(Invariant::kInconsistentHistory,
                     told.outcome.id + " follows a revision that it was not based on");
  }
}

void InvariantChecker::check_history(const std::vector<RevisionInfo>& history) {
  std::map<Revision, RevisionInfo> by_revision;
  std::map<SubmissionId, Revision> by_submission;
  for (const auto& info : history) {
    by_revision.emplace(info.revision, info);
    if (!by_submission.emplace(info.submission, info.revision).second) {
      report_violation(Invariant::kInconsistentHistory,
                       info.submission + " is in the history twice");
    }
  }
  for (const auto& [id, told] : outcomes_) {
    if (told.outcome.accepted) {
      check_accepted(told, by_revision);
    } else if (by_submission.contains(id)) {
      report_violation(Invariant::kInconsistentHistory, id + " was refused but is in the history");
    } else if (!by_submission.contains(told.outcome.winner)) {
      report_violation(Invariant::kInconsistentHistory, id + " lost against an unknown submission");
    }
  }
}

}  // namespace gorsevalve
