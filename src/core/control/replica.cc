#include "core/control/replica.h"

#include <algorithm>
#include <utility>

#include "codec/archive.h"
#include "core/control/timing.h"

namespace gorsevalve {
namespace {

constexpr Duration kJoinInterval = std::chrono::milliseconds(500);

}  // namespace

Replica::Replica(ReplicaConfig config, ReplicaSet first_replicas, StoredReplica stored,
                 ReplicaStorage& storage, ReplicaOutput& output, ReplicatedState& state,
                 Instant now)
    : config_(std::move(config)),
      first_replicas_(std::move(first_replicas)),
      storage_(storage),
      output_(output),
      state_(state),
      random_(config_.random_seed),
      hard_state_(stored.hard_state),
      snapshot_(std::move(stored.snapshot)),
      entries_(std::move(stored.entries)),
      leader_heard_at_(now) {
  if (snapshot_) {
    state_.restore(snapshot_->state);
    commit_index_ = snapshot_->index;
    applied_index_ = snapshot_->index;
  }
  find_replicas();
  // A restarted replica does not know when it last heard from a leader, so it behaves as if it had
  // just heard from one: `leader_heard_at_` is now.
  reset_election_timer(now);
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

void Replica::find_replicas() {
  for (auto found = entries_.rbegin(); found != entries_.rend(); ++found) {
    if (found->type == EntryType::kReplicas) {
      replicas_ = decode_archive<ReplicaSet>(found->payload).value_or(ReplicaSet{});
      replicas_index_ = found->index;
      return;
    }
  }
  replicas_ = snapshot_ ? snapshot_->replicas : first_replicas_;
  replicas_index_ = snapshot_index();
}

void Replica::send(const Endpoint& to, Term term, ReplicaMessage message) {
  message.from = config_.id;
  message.term = term;
  output_.send(to, message);
}

bool Replica::persist(const LogFrame& frame) {
  failed_ = failed_ || !storage_.append(frame);
  return !failed_;
}

void Replica::become_follower(Term term, Instant now) {
  if (term > hard_state_.term) {
    hard_state_ = {term, 0};
    persist({hard_state_, std::nullopt, {}});
    leader_.reset();
  }
  if (role_ != ReplicaRole::kFollower) {
    reset_election_timer(now);
  }
  role_ = ReplicaRole::kFollower;
}

void Replica::refuse_older_leader(const ReplicaMessage& message) {
  // Nobody votes for this replica while that leader lives, so the leader must learn of the term.
  const bool from_leader = std::holds_alternative<AppendRequest>(message.body) ||
                           std::holds_alternative<SnapshotRequest>(message.body);
  const ReplicaInfo* leader = replicas_.find(message.from);
  if (from_leader && leader != nullptr) {
    send(leader->address, hard_state_.term, {0, 0, AppendReply{false, 0, 0}});
  }
}

bool Replica::accepts_term(const ReplicaMessage& message, Instant now) {
  if (message.term < hard_state_.term) {
    refuse_older_leader(message);
    return false;
  }
  const auto* vote_request = std::get_if<VoteRequest>(&message.body);
  const auto* vote_reply = std::get_if<VoteReply>(&message.body);
  const bool asks_pre_vote = vote_request != nullptr && vote_request->pre_vote;
  const bool answers_pre_vote =
      vote_reply != nullptr && vote_reply->pre_vote && vote_reply->granted;
  // A vote request within the lease of a leader is not even looked at, so that a replica that was
  // cut off cannot depose a leader that works.
  const bool leader_lives =
      is_leader() ? has_lease(now) : now - leader_heard_at_ < control_timing::kElectionTimeout;
  if (vote_request != nullptr && leader_lives && !config_.faults.vote_while_leader_lives) {
    return false;
  }
  if (message.term > hard_state_.term && !asks_pre_vote && !answers_pre_vote) {
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
  return failed_ ? std::nullopt : std::optional(index);
}

Instant Replica::majority_confirmed_at(Instant now) const {
  std::vector<Instant> confirmed;
  for (const auto& replica : replicas_.replicas) {
    if (!replica.voter) {
      continue;
    }
    if (replica.id == config_.id) {
      confirmed.push_back(now);
      continue;
    }
    const auto found = progress_.find(replica.id);
    confirmed.push_back(found == progress_.end() ? Instant{} : found->second.confirmed_at);
  }
  if (confirmed.size() < replicas_.majority()) {
    return Instant{};
  }
  std::sort(confirmed.begin(), confirmed.end(), std::greater<>());
  return confirmed[replicas_.majority() - 1];
}

bool Replica::has_lease(Instant now) const {
  if (!is_leader() || commit_index_ < leader_start_) {
    return false;
  }
  return config_.faults.ignore_leader_lease ||
         now < majority_confirmed_at(now) + control_timing::kLeaderLease;
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
          now - progress_[replica.id].last_sent >= control_timing::kAppendInterval) {
        replicate_to(replica, now);
      }
    }
    change_replicas(now);
    // A leader that has heard of no majority for two election periods steps down, so that its
    // clients look for another one.
    if (now - majority_confirmed_at(now) > 2 * control_timing::kElectionTimeout &&
        commit_index_ >= leader_start_) {
      become_follower(hard_state_.term, now);
      leader_.reset();
    }
    return;
  }
  if (!replicas_.is_voter(config_.id)) {
    ask_to_join(now);
    return;
  }
  if (now >= election_at_) {
    start_election(true, now);
  }
}

void Replica::ask_to_join(Instant now) {
  if (now < next_join_ || replicas_.find(config_.id) != nullptr) {
    return;
  }
  next_join_ = now + kJoinInterval;
  for (const auto& seed : config_.seeds) {
    if (seed != config_.address) {
      send(seed, hard_state_.term, {0, 0, JoinRequest{config_.address}});
    }
  }
}

void Replica::handle(const ReplicaMessage& message, const JoinRequest& request, Instant /*now*/) {
  if (is_leader() && replicas_.find(message.from) == nullptr) {
    joining_[message.from] = request.address;
  }
}

void Replica::change_replicas(Instant now) {
  // One change at a time, and only after an entry of the own term is committed (Raft, section 4.1,
  // with the correction of 2015).
  if (!has_lease(now) || replicas_index_ > commit_index_) {
    return;
  }
  ReplicaSet changed = replicas_;
  if (!joining_.empty()) {
    const ReplicaId id = joining_.begin()->first;
    const Endpoint address = joining_.begin()->second;
    joining_.erase(joining_.begin());
    if (changed.find(id) == nullptr) {
      // The process at this address has a new identity: the old one is gone with its disk.
      std::erase_if(changed.replicas,
                    [&](const ReplicaInfo& replica) { return replica.address == address; });
      changed.replicas.push_back({id, address, false});
      propose(EntryType::kReplicas, encode_archive(changed), now);
    }
    return;
  }
  for (auto& replica : changed.replicas) {
    const Progress& progress = progress_[replica.id];
    const bool caught_up = progress.match_index >= commit_index_ && progress.match_index > 0;
    if (!replica.voter && caught_up) {
      replica.voter = true;
      propose(EntryType::kReplicas, encode_archive(changed), now);
      return;
    }
  }
}
}  // namespace gorsevalve
