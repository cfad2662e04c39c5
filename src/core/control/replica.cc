#include "core/control/replica.h"

#include <algorithm>
#include <utility>

#include "codec/archive.h"
#include "core/control/timing.h"

namespace gorsevalve {
namespace {

constexpr Duration kJoinInterval = std::chrono::milliseconds(500);
/// A replica without leader contact for this long requests admission, even if its replica set lists
/// it as a voter.
constexpr Duration kLeaderContactTimeout = std::chrono::milliseconds(3000);
/// A voter that has acknowledged nothing to the leader for this long may be removed.
constexpr Duration kVoterTimeout = std::chrono::milliseconds(2000);
/// A leader steps down after this many election timeouts without an acknowledgement from a
/// majority, because its clients should find another leader soon.
constexpr int kQuorumLossTimeouts = 2;
/// The same limit before a leader's first commit. It is longer because followers may first need a
/// large part of the log, which another election would delay again.
constexpr int kFirstCommitTimeouts = 6;

}  // namespace

Replica::Replica(ReplicaConfig config, ReplicaSet first_replicas, StoredReplica stored,
                 ReplicaStorage& storage, ReplicaOutput& output, ReplicatedState& state,
                 Instant now)
    : config_(std::move(config)),
      initial_replicas_(std::move(first_replicas)),
      storage_(storage),
      output_(output),
      state_(state),
      rng_(config_.random_seed),
      hard_state_(stored.hard_state),
      snapshot_(std::move(stored.snapshot)),
      entries_(std::move(stored.entries)),
      last_leader_contact_(now),
      started_at_(now) {
  if (snapshot_) {
    state_.restore(snapshot_->state);
    commit_index_ = snapshot_->index;
    applied_index_ = snapshot_->index;
  }
  // Committed entries cannot be lost, so they are applied before a leader is known.
  commit_index_ = std::max(commit_index_, std::min(stored.committed, last_index()));
  apply_committed();
  load_replica_set();
  // A restarted replica does not know when it last received a message from a leader. It waits as if
  // that were now.
  reset_election_timer(now);
  if (hard_state_.leader == config_.id) {
    // This replica led the stored term before the restart and no longer holds its lease, so it can
    // start an election at once.
    released_lease_term_ = hard_state_.term;
    election_deadline_ = now;
  }
}

LogIndex Replica::last_index() const {
  return entries_.empty() ? snapshot_index() : entries_.back().index;
}

const LogEntry* Replica::entry(LogIndex index) const {
  if (index <= snapshot_index() || index > last_index()) {
    return nullptr;
  }
  return &entries_[index - snapshot_index() - 1];
}

Term Replica::term_at(LogIndex index) const {
  if (snapshot_ && index == snapshot_->index) {
    return snapshot_->term;
  }
  const LogEntry* found = entry(index);
  return found == nullptr ? 0 : found->term;
}

void Replica::load_replica_set() {
  for (auto found = entries_.rbegin(); found != entries_.rend(); ++found) {
    if (found->type == EntryType::kReplicas) {
      replicas_ = decode_archive<ReplicaSet>(found->payload).value_or(ReplicaSet{});
      replicas_index_ = found->index;
      return;
    }
  }
  replicas_ = snapshot_ ? snapshot_->replicas : initial_replicas_;
  replicas_index_ = snapshot_index();
}

void Replica::send(const Endpoint& to, Term term, ReplicaMessage message) {
  message.from = config_.id;
  message.term = term;
  output_.send(to, message);
}

bool Replica::persist_hard_state() {
  LogFrame frame;
  frame.hard_state = hard_state_;
  return persist(frame);
}

bool Replica::persist(LogFrame& frame) {
  if (failed_) {
    return false;
  }
  if (hard_state_dirty_) {
    frame.hard_state = hard_state_;
  }
  frame.committed = commit_index_;
  if (storage_.append(frame)) {
    hard_state_dirty_ = false;
    return true;
  }
  hard_state_dirty_ = hard_state_dirty_ || frame.hard_state.has_value();
  failed_ = !storage_.can_retry();
  return false;
}

bool Replica::is_current(Instant now) const {
  if (is_leader()) {
    return has_lease(now);
  }
  return has_leader_contact(now) && leader_has_lease_ && applied_index_ >= leader_commit_;
}

bool Replica::has_leader_contact(Instant now) const {
  return leader_ && now - last_leader_contact_ < config_.timing.election_timeout;
}

void Replica::become_follower(Term term, Instant now) {
  if (term > hard_state_.term) {
    hard_state_ = {term, 0, 0};
    persist_hard_state();
    leader_.reset();
  }
  if (role_ != ReplicaRole::kFollower) {
    reset_election_timer(now);
  }
  role_ = ReplicaRole::kFollower;
}

void Replica::reject_stale_leader(const ReplicaMessage& message) {
  // No voter grants a vote to this replica while the older leader is active, so that leader must
  // learn of the newer term.
  const bool from_leader = std::holds_alternative<AppendRequest>(message.body) ||
                           std::holds_alternative<SnapshotRequest>(message.body);
  const ReplicaInfo* leader = replicas_.find(message.from);
  if (from_leader && leader != nullptr) {
    send(leader->address, hard_state_.term, {0, 0, AppendReply{false, 0, 0}});
  }
}

bool Replica::accepts_term(const ReplicaMessage& message, Instant now) {
  if (message.term < hard_state_.term) {
    reject_stale_leader(message);
    return false;
  }
  const auto* vote_request = std::get_if<VoteRequest>(&message.body);
  const auto* vote_reply = std::get_if<VoteReply>(&message.body);
  const bool is_pre_vote_request = vote_request != nullptr && vote_request->pre_vote;
  const bool is_granted_pre_vote =
      vote_reply != nullptr && vote_reply->pre_vote && vote_reply->granted;
  // Vote requests are ignored while a leader is active, so a replica that was partitioned cannot
  // depose a working leader.
  const bool leader_is_active =
      is_leader() ? has_lease(now) : now - last_leader_contact_ < config_.timing.election_timeout;
  const bool considers_vote =
      !leader_is_active || config_.faults.vote_despite_live_leader ||
      (vote_request != nullptr && vote_request->released_lease_term >= hard_state_.term);
  if (vote_request != nullptr && !considers_vote) {
    return false;
  }
  if (message.term > hard_state_.term && !is_pre_vote_request && !is_granted_pre_vote) {
    become_follower(message.term, now);
  }
  return !failed_;
}

void Replica::on_message(const ReplicaMessage& message, Instant now) {
  if (failed_) {
    return;
  }
  if (const auto* join = std::get_if<JoinRequest>(&message.body)) {
    handle(message, *join, now);
    return;
  }
  if (!accepts_term(message, now)) {
    return;
  }
  std::visit([&](const auto& body) { handle(message, body, now); }, message.body);
}

std::optional<LogIndex> Replica::propose(EntryType type, Bytes payload, Instant now) {
  if (!has_lease(now) || failed_) {
    return std::nullopt;
  }
  const LogIndex index = last_index() + 1;
  append_as_leader({hard_state_.term, index, type, std::move(payload)}, now);
  return last_index() < index ? std::nullopt : std::optional(index);
}

Instant Replica::majority_acked_send_time(Instant now) const {
  std::vector<Instant> acked_send_times;
  for (const auto& replica : replicas_.replicas) {
    if (!replica.voter) {
      continue;
    }
    if (replica.id == config_.id) {
      acked_send_times.push_back(now);
      continue;
    }
    const auto found = progress_.find(replica.id);
    acked_send_times.push_back(found == progress_.end() ? Instant{}
                                                        : found->second.acked_send_time);
  }
  if (acked_send_times.size() < replicas_.majority()) {
    return Instant{};
  }
  std::sort(acked_send_times.begin(), acked_send_times.end(), std::greater<>());
  return acked_send_times[replicas_.majority() - 1];
}

bool Replica::has_lease(Instant now) const {
  if (!is_leader() || commit_index_ < term_start_index_) {
    return false;
  }
  return config_.faults.ignore_leader_lease ||
         now < majority_acked_send_time(now) + config_.timing.lease();
}

std::optional<Endpoint> Replica::leader_address() const {
  if (!leader_) {
    return std::nullopt;
  }
  const ReplicaInfo* leader = replicas_.find(*leader_);
  return leader == nullptr ? std::nullopt : std::optional(leader->address);
}

void Replica::on_tick(Instant now) {
  if (failed_) {
    return;
  }
  if (is_leader()) {
    for (const auto& replica : std::vector<ReplicaInfo>(replicas_.replicas)) {
      if (replica.id != config_.id &&
          now - progress_[replica.id].last_sent >= config_.timing.append_interval) {
        replicate_to(replica, now);
      }
    }
    propose_replica_change(now);
    const Instant quorum_contact = std::max(majority_acked_send_time(now), leader_since_);
    const int timeouts =
        commit_index_ >= term_start_index_ ? kQuorumLossTimeouts : kFirstCommitTimeouts;
    if (now - quorum_contact > timeouts * config_.timing.election_timeout) {
      become_follower(hard_state_.term, now);
      leader_.reset();
    }
    return;
  }
  if (!replicas_.is_voter(config_.id)) {
    request_admission(now);
    return;
  }
  if (now - last_leader_contact_ > kLeaderContactTimeout) {
    // The other replicas may have removed this one while it was unreachable.
    send_join_requests(now);
  }
  if (now >= election_deadline_) {
    start_election(true, now);
  }
}

void Replica::request_admission(Instant now) {
  const bool is_in_replica_set = replicas_.find(config_.id) != nullptr;
  if (!is_in_replica_set || now - last_leader_contact_ > kLeaderContactTimeout) {
    send_join_requests(now);
  }
}

void Replica::send_join_requests(Instant now) {
  if (now < next_join_request_at_) {
    return;
  }
  next_join_request_at_ = now + kJoinInterval;
  std::set<Endpoint> recipients(config_.seeds.begin(), config_.seeds.end());
  for (const auto& replica : replicas_.replicas) {
    recipients.insert(replica.address);
  }
  recipients.erase(config_.address);
  for (const auto& address : recipients) {
    send(address, hard_state_.term, {0, 0, JoinRequest{config_.address}});
  }
}

void Replica::detect_replaced_leader(const ReplicaMessage& message, const JoinRequest& request,
                                     Instant now) {
  const ReplicaInfo* leader = replicas_.find(hard_state_.leader);
  const bool is_replaced = leader != nullptr && leader->address == request.address &&
                           leader->id != message.from && leader->id != config_.id;
  const bool awaits_lease_expiry =
      !leader_ && released_lease_term_ != hard_state_.term && replicas_.is_voter(config_.id);
  if (is_replaced && awaits_lease_expiry && now - started_at_ < control_timing::kRestartWindow) {
    // The leader of this term no longer holds a lease, so an election can start at once.
    released_lease_term_ = hard_state_.term;
    election_deadline_ = now;
  }
}

void Replica::handle(const ReplicaMessage& message, const JoinRequest& request, Instant now) {
  detect_replaced_leader(message, request, now);
  if (is_leader() && replicas_.find(message.from) == nullptr) {
    joining_[message.from] = request.address;
  }
}

void Replica::propose_replica_change(Instant now) {
  // Allows one change at a time, and only after an entry of the current term is committed (Raft,
  // section 4.1, with the correction of 2015).
  if (!has_lease(now) || replicas_index_ > commit_index_) {
    return;
  }
  if (admit_joining_replica(now)) {
    return;
  }
  ReplicaSet new_replicas = replicas_;
  if (const ReplicaInfo* learner = caught_up_learner()) {
    for (auto& replica : new_replicas.replicas) {
      replica.voter = replica.voter || replica.id == learner->id;
    }
    propose(EntryType::kReplicas, encode_archive(new_replicas), now);
    return;
  }
  // Removes an unreachable voter if that leaves an odd number of voters: one fewer voter then
  // tolerates the same number of failures. The voter is admitted again when it returns.
  const auto voters = std::count_if(new_replicas.replicas.begin(), new_replicas.replicas.end(),
                                    [](const ReplicaInfo& replica) { return replica.voter; });
  const ReplicaInfo* unreachable = unreachable_voter(now);
  if (voters % 2 == 0 && voters > 2 && unreachable != nullptr) {
    std::erase_if(new_replicas.replicas,
                  [id = unreachable->id](const ReplicaInfo& replica) { return replica.id == id; });
    propose(EntryType::kReplicas, encode_archive(new_replicas), now);
  }
}

bool Replica::admit_joining_replica(Instant now) {
  while (!joining_.empty()) {
    const ReplicaId id = joining_.begin()->first;
    const Endpoint address = joining_.begin()->second;
    joining_.erase(joining_.begin());
    if (replicas_.find(id) != nullptr) {
      continue;
    }
    // A new identity at a known address means that the old replica lost its disk.
    ReplicaSet new_replicas = replicas_;
    std::erase_if(new_replicas.replicas,
                  [&](const ReplicaInfo& replica) { return replica.address == address; });
    new_replicas.replicas.push_back({id, address, false});
    propose(EntryType::kReplicas, encode_archive(new_replicas), now);
    return true;
  }
  return false;
}

const ReplicaInfo* Replica::unreachable_voter(Instant now) const {
  if (now - leader_since_ < kVoterTimeout) {
    return nullptr;
  }
  const auto found = std::find_if(replicas_.replicas.begin(), replicas_.replicas.end(),
                                  [&](const ReplicaInfo& replica) {
                                    const auto progress = progress_.find(replica.id);
                                    return replica.voter && replica.id != config_.id &&
                                           (progress == progress_.end() ||
                                            now - progress->second.acked_send_time > kVoterTimeout);
                                  });
  return found == replicas_.replicas.end() ? nullptr : &*found;
}

const ReplicaInfo* Replica::caught_up_learner() const {
  const auto found = std::find_if(
      replicas_.replicas.begin(), replicas_.replicas.end(), [&](const ReplicaInfo& replica) {
        const auto progress = progress_.find(replica.id);
        return !replica.voter && progress != progress_.end() && progress->second.match_index > 0 &&
               progress->second.match_index >= commit_index_;
      });
  return found == replicas_.replicas.end() ? nullptr : &*found;
}

}  // namespace gorsevalve
