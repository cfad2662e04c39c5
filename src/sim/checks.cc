#include "sim/checks.h"

namespace gorsevalve {

std::string_view to_string(Invariant invariant) {
  switch (invariant) {
    case Invariant::kWrongAnswer:
      return "wrong_answer";
    case Invariant::kForeignDatagram:
      return "foreign_datagram";
    case Invariant::kDoubledExecution:
      return "doubled_execution";
    case Invariant::kFalseNotRun:
      return "false_not_run";
    case Invariant::kFalseDone:
      return "false_done";
    case Invariant::kBrokenFlow:
      return "broken_flow";
    case Invariant::kFeedMoved:
      return "feed_moved";
    case Invariant::kRequestCut:
      return "request_cut";
    case Invariant::kVerdictWithoutTime:
      return "verdict_without_time";
    case Invariant::kLateNewWork:
      return "late_new_work";
    case Invariant::kRevisionWentBack:
      return "revision_went_back";
    case Invariant::kStateDiverged:
      return "state_diverged";
    case Invariant::kNotConverged:
      return "not_converged";
    case Invariant::kSlowForce:
      return "slow_force";
    case Invariant::kTwoLeaders:
      return "two_leaders";
    case Invariant::kTwoLeases:
      return "two_leases";
    case Invariant::kSubmissionHistory:
      return "submission_history";
    case Invariant::kNotSettled:
      return "not_settled";
  }
  return "unknown";
}

void Checks::violate(Invariant invariant, const std::string& detail) {
  trace_.note(events_.now(), "VIOLATION " + std::string(to_string(invariant)) + " " + detail);
  violations_.push_back({invariant, detail});
}

void Checks::on_state(const std::string& process, Revision revision, std::uint64_t digest) {
  const auto [known, is_new] = digests_.emplace(revision, digest);
  if (!is_new && known->second != digest) {
    violate(Invariant::kStateDiverged, process + " at revision " + std::to_string(revision));
  }
}

void Checks::on_revision(const std::string& process, Revision before, Revision after) {
  if (after < before) {
    violate(Invariant::kRevisionWentBack,
            process + " from " + std::to_string(before) + " to " + std::to_string(after));
  }
}

void Checks::on_leader(Term term, ReplicaId replica) {
  const auto [known, is_new] = leaders_.emplace(term, replica);
  if (!is_new && known->second != replica) {
    violate(Invariant::kTwoLeaders, "term " + std::to_string(term));
  }
}

void Checks::on_told(const ToldOutcome& told) {
  const auto [known, is_new] = told_.emplace(told.outcome.id, told);
  if (!is_new && !(known->second.outcome == told.outcome)) {
    violate(Invariant::kSubmissionHistory, told.outcome.id + " got two different outcomes");
  }
}

void Checks::check_accepted(const ToldOutcome& told,
                            const std::map<Revision, RevisionInfo>& history) {
  const auto entry = history.find(told.outcome.revision);
  if (entry == history.end() || entry->second.submission != told.outcome.id) {
    violate(Invariant::kSubmissionHistory,
            told.outcome.id + " was accepted but is not in the history");
    return;
  }
  const Revision before = entry == history.begin() ? 0 : std::prev(entry)->first;
  if (before != told.base) {
    violate(Invariant::kSubmissionHistory,
            told.outcome.id + " follows a revision that it was not based on");
  }
}

void Checks::check_history(const std::vector<RevisionInfo>& history) {
  std::map<Revision, RevisionInfo> by_revision;
  std::map<SubmissionId, Revision> by_submission;
  for (const auto& info : history) {
    by_revision.emplace(info.revision, info);
    if (!by_submission.emplace(info.submission, info.revision).second) {
      violate(Invariant::kSubmissionHistory, info.submission + " is in the history twice");
    }
  }
  for (const auto& [id, told] : told_) {
    if (told.outcome.accepted) {
      check_accepted(told, by_revision);
    } else if (by_submission.contains(id)) {
      violate(Invariant::kSubmissionHistory, id + " was refused but is in the history");
    } else if (!by_submission.contains(told.outcome.winner)) {
      violate(Invariant::kSubmissionHistory, id + " lost against an unknown submission");
    }
  }
}

}  // namespace gorsevalve
