#include "sim/invariant_checker.h"

namespace gorsevalve {

std::string_view to_string(Invariant invariant) {
  switch (invariant) {
    case Invariant::kWrongResponse:
      return "wrong_response";
    case Invariant::kMisroutedDatagram:
      return "misrouted_datagram";
    case Invariant::kDuplicateExecution:
      return "duplicate_execution";
    case Invariant::kExecutedDespiteNotRun:
      return "executed_despite_not_run";
    case Invariant::kLostUpdate:
      return "lost_update";
    case Invariant::kBrokenFlow:
      return "broken_flow";
    case Invariant::kObservationMoved:
      return "observation_moved";
    case Invariant::kRequestFailed:
      return "request_failed";
    case Invariant::kVerdictWithoutRetryDelay:
      return "verdict_without_retry_delay";
    case Invariant::kNewWorkAfterDrain:
      return "new_work_after_drain";
    case Invariant::kRevisionRegressed:
      return "revision_regressed";
    case Invariant::kStateDiverged:
      return "state_diverged";
    case Invariant::kNotConverged:
      return "not_converged";
    case Invariant::kSlowApply:
      return "slow_apply";
    case Invariant::kTwoLeaders:
      return "two_leaders";
    case Invariant::kTwoLeaseHolders:
      return "two_lease_holders";
    case Invariant::kInconsistentHistory:
      return "inconsistent_history";
    case Invariant::kHandoverIncomplete:
      return "handover_incomplete";
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

void InvariantChecker::on_outcome(const ReportedOutcome& reported) {
  const auto [known, is_new] = outcomes_.emplace(reported.outcome.id, reported);
  if (!is_new && !(known->second.outcome == reported.outcome)) {
    report_violation(Invariant::kInconsistentHistory,
                     reported.outcome.id + " received two different outcomes");
  }
}

void InvariantChecker::check_accepted(const ReportedOutcome& reported,
                                      const std::map<Revision, RevisionInfo>& history) {
  const auto entry = history.find(reported.outcome.revision);
  if (entry == history.end() || entry->second.submission != reported.outcome.id) {
    report_violation(Invariant::kInconsistentHistory,
                     reported.outcome.id + " was accepted but is missing from the history");
    return;
  }
  const Revision before = entry == history.begin() ? 0 : std::prev(entry)->first;
  if (before != reported.base) {
    report_violation(Invariant::kInconsistentHistory,
                     reported.outcome.id + " was accepted on a revision other than its base");
  }
}

void InvariantChecker::check_history(const std::vector<RevisionInfo>& history) {
  std::map<Revision, RevisionInfo> by_revision;
  std::map<SubmissionId, Revision> by_submission;
  for (const auto& info : history) {
    by_revision.emplace(info.revision, info);
    if (!by_submission.emplace(info.submission, info.revision).second) {
      report_violation(Invariant::kInconsistentHistory,
                       info.submission + " is duplicated in the history");
    }
  }
  for (const auto& [id, reported] : outcomes_) {
    if (reported.outcome.accepted) {
      check_accepted(reported, by_revision);
    } else if (by_submission.contains(id)) {
      report_violation(Invariant::kInconsistentHistory, id + " was rejected but is in the history");
    } else if (!by_submission.contains(reported.outcome.winner)) {
      report_violation(Invariant::kInconsistentHistory,
                       id + " conflicts with a submission that is missing from the history");
    }
  }
}

}  // namespace gorsevalve
