/// Leader election: pre-votes, votes, leadership transfer. Source: see replica_messages.h.
#include <algorithm>

#include "core/control/replica.h"
#include "core/control/timing.h"

namespace gorsevalve {
namespace {

/// Added to the election timeout after a failed write.
constexpr Duration kWriteFailureBackoff = std::chrono::milliseconds(1500);
/// Pre-vote interval of a restarted replica that knows that no lease is held. Short, since the
/// other replicas may be starting as well.
constexpr Duration kRestartPreVoteInterval = std::chrono::milliseconds(50);

}  // namespace

void Replica::reset_election_timer(Instant now) {
  std::uniform_int_distribution<std::int64_t> spread(0, config_.timing.election_timeout.count());
  election_deadline_ = now + config_.timing.election_timeout + Duration(spread(rng_));
}

bool Replica::candidate_log_is_up_to_date(const VoteRequest& request) const {
  const Term own_term = term_at(last_index());
  if (request.last_term != own_term) {
    return request.last_term > own_term;
  }
  return request.last_index >= last_index();
}

void Replica::start_election(bool pre_vote, Instant now) {
  const HardState before = hard_state_;
  reset_election_timer(now);
  // A pre-vote has no side effects and is retried soon: after a restart of all replicas, voters
  // reject it until an election timeout after their own start. A split vote is also retried sooner
  // than a lost leader is detected.
  const Duration wait = election_deadline_ - now;
  election_deadline_ = now + (pre_vote ? wait / 4 : wait / 2);
  const bool is_restarting = released_lease_term_ == hard_state_.term &&
                             now - started_at_ < control_timing::kRestartWindow;
  if (pre_vote && is_restarting) {
    election_deadline_ = now + kRestartPreVoteInterval;
  }
  role_ = ReplicaRole::kCandidate;
  leader_.reset();
  in_pre_vote_ = pre_vote;
  votes_ = {config_.id};
  if (!pre_vote) {
    hard_state_ = {hard_state_.term + 1, config_.id, 0};
    if (!persist_hard_state()) {
      // The new term was neither stored nor sent, so it is rolled back.
      hard_state_ = before;
      step_down_after_write_failure(now);
      return;
    }
  }
  const Term term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
  const VoteRequest request{pre_vote, last_index(), term_at(last_index()), config_.address,
                            released_lease_term_};
  for (const auto& replica : replicas_.replicas) {
    if (replica.voter && replica.id != config_.id) {
      send(replica.address, term, {0, 0, request});
    }
  }
  check_vote_majority(pre_vote, now);
}

void Replica::check_vote_majority(bool pre_vote, Instant now) {
  if (votes_.size() < replicas_.majority()) {
    return;
  }
  if (pre_vote) {
    start_election(false, now);
  } else {
    become_leader(now);
  }
}

void Replica::become_leader(Instant now) {
  role_ = ReplicaRole::kLeader;
  leader_ = config_.id;
  leader_since_ = now;
  released_lease_term_ = 0;
  hard_state_.leader = config_.id;
  hard_state_dirty_ = true;
  progress_.clear();
  for (const auto& replica : replicas_.replicas) {
    progress_[replica.id].next_index = last_index() + 1;
  }
  term_start_index_ = last_index() + 1;
  append_as_leader({hard_state_.term, term_start_index_, EntryType::kNoOp, {}}, now);
}

void Replica::handle(const ReplicaMessage& message, const VoteRequest& request, Instant now) {
  // The candidate counts only votes of replicas in its own set, so a replica with a new disk and a
  // new identity cannot vote twice.
  const bool current =
      candidate_log_is_up_to_date(request) || config_.faults.vote_without_log_check;
  VoteReply reply{request.pre_vote, false};
  if (request.pre_vote) {
    // When two candidates have equal logs, the one with the greater id continues and the other one
    // withdraws. This avoids a split vote.
    const bool is_competing = role_ == ReplicaRole::kCandidate && in_pre_vote_;
    const bool equal_logs =
        request.last_term == term_at(last_index()) && request.last_index == last_index();
    const bool keeps_candidacy = is_competing && equal_logs && config_.id > message.from;
    reply.granted = current && message.term > hard_state_.term && !keeps_candidacy;
    if (reply.granted && !is_leader()) {
      role_ = ReplicaRole::kFollower;
      election_deadline_ = std::max(election_deadline_, now + config_.timing.election_timeout / 2);
    }
    send(request.address, reply.granted ? message.term : hard_state_.term, {0, 0, reply});
    return;
  }
  const bool vote_is_available =
      hard_state_.voted_for == 0 || hard_state_.voted_for == message.from;
  if (current && vote_is_available && role_ == ReplicaRole::kFollower) {
    hard_state_.voted_for = message.from;
    if (!persist_hard_state()) {
      return;
    }
    reset_election_timer(now);
    reply.granted = true;
  }
  send(request.address, hard_state_.term, {0, 0, reply});
}

void Replica::handle(const ReplicaMessage& message, const VoteReply& reply, Instant now) {
  const Term expected = reply.pre_vote ? hard_state_.term + 1 : hard_state_.term;
  const bool matches = role_ == ReplicaRole::kCandidate && reply.pre_vote == in_pre_vote_ &&
                       message.term == expected && replicas_.is_voter(message.from);
  if (matches && reply.granted) {
    votes_.insert(message.from);
    check_vote_majority(reply.pre_vote, now);
  }
}

void Replica::step_down_after_write_failure(Instant now) {
  transfer_leadership(now);
  role_ = ReplicaRole::kFollower;
  leader_.reset();
  reset_election_timer(now);
  election_deadline_ += kWriteFailureBackoff;
}

void Replica::transfer_leadership(Instant now) {
  if (!is_leader()) {
    return;
  }
  const ReplicaInfo* best = nullptr;
  LogIndex best_index = 0;
  for (const auto& replica : replicas_.replicas) {
    const Progress& progress = progress_[replica.id];
    const bool is_reachable = now - progress.acked_send_time < config_.timing.election_timeout;
    if (replica.voter && replica.id != config_.id && is_reachable &&
        progress.match_index >= best_index) {
      best = &replica;
      best_index = progress.match_index;
    }
  }
  // This replica must stop acting as leader before the transfer, because the following election
  // ignores its lease.
  role_ = ReplicaRole::kFollower;
  leader_.reset();
  reset_election_timer(now);
  if (best != nullptr) {
    send(best->address, hard_state_.term, {0, 0, LeadershipTransfer{}});
  }
}

void Replica::handle(const ReplicaMessage& message, const LeadershipTransfer& /*transfer*/,
                     Instant now) {
  const bool from_leader = leader_ == message.from && message.term == hard_state_.term;
  if (from_leader && role_ == ReplicaRole::kFollower && replicas_.is_voter(config_.id)) {
    released_lease_term_ = message.term;
    start_election(false, now);
  }
}

}  // namespace gorsevalve
