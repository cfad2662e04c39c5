#include "core/control/replica.h"

#include <algorithm>
#include <utility>

#include "codec/archive.h"
#include "core/control/timing.h"

namespace gorsevalve {
namespace {

/// Octets of payload in one AppendRequest.
constexpr std::size_t kAppendSize = 256 * 1024;
constexpr Duration kJoinInterval = std::chrono::milliseconds(500);

std::int64_t to_us(Instant instant) { return instant.time_since_epoch().count(); }
Instant from_us(std::int64_t us) { return Instant(Duration(us)); }

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

void Replica::reset_election_timer(Instant now) {
  std::uniform_int_distribution<std::int64_t> spread(0, control_timing::kElectionTimeout.count());
  election_at_ = now + control_timing::kElectionTimeout + Duration(spread(random_));
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

bool Replica::log_is_current(const VoteRequest& request) const {
  const Term own_term = term_at(last_index());
  if (request.last_term != own_term) {
    return request.last_term > own_term;
  }
  return request.last_index >= last_index();
}

void Replica::handle(const ReplicaMessage& message, const VoteRequest& request, Instant now) {
  // The candidate counts votes by its own set, so a vote of a replica with a new disk, whose
  // identity is in no set, counts nowhere.
  const bool current = log_is_current(request) || config_.faults.vote_without_log_check;
  VoteReply reply{request.pre_vote, false};
  if (request.pre_vote) {
    reply.granted = current && message.term > hard_state_.term;
    send(request.address, reply.granted ? message.term : hard_state_.term, {0, 0, reply});
    return;
  }
  const bool free = hard_state_.voted_for == 0 || hard_state_.voted_for == message.from;
  if (current && free && role_ == ReplicaRole::kFollower) {
    hard_state_.voted_for = message.from;
    if (!persist({hard_state_, std::nullopt, {}})) {
      return;
    }
    reset_election_timer(now);
    reply.granted = true;
  }
  send(request.address, hard_state_.term, {0, 0, reply});
}

void Replica::start_election(bool pre_vote, Instant now) {
  reset_election_timer(now);
  role_ = ReplicaRole::kCandidate;
  leader_.reset();
  in_pre_vote_ = pre_vote;
  votes_ = {config_.id};
  if (!pre_vote) {
    hard_state_ = {hard_state_.term + 1, config_.id};
    if (!persist({hard_state_, std::nullopt, {}})) {
      return;
    }
  }
  const Term term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
  const VoteRequest request{pre_vote, last_index(), term_at(last_index()), config_.address};
  for (const auto& replica : replicas_.replicas) {
    if (replica.voter && replica.id != config_.id) {
      send(replica.address, term, {0, 0, request});
    }
  }
  count_vote(pre_vote, now);
}

void Replica::count_vote(bool pre_vote, Instant now) {
  if (votes_.size() < replicas_.majority()) {
    return;
  }
  if (pre_vote) {
    start_election(false, now);
  } else {
    become_leader(now);
  }
}

void Replica::handle(const ReplicaMessage& message, const VoteReply& reply, Instant now) {
  const Term expected = reply.pre_vote ? hard_state_.term + 1 : hard_state_.term;
  const bool matches = role_ == ReplicaRole::kCandidate && reply.pre_vote == in_pre_vote_ &&
                       message.term == expected && replicas_.is_voter(message.from);
  if (matches && reply.granted) {
    votes_.insert(message.from);
    count_vote(reply.pre_vote, now);
  }
}

void Replica::become_leader(Instant now) {
  role_ = ReplicaRole::kLeader;
  leader_ = config_.id;
  progress_.clear();
  for (const auto& replica : replicas_.replicas) {
    progress_[replica.id].next_index = last_index() + 1;
  }
  leader_start_ = last_index() + 1;
  append_as_leader({hard_state_.term, leader_start_, EntryType::kNone, {}}, now);
}

void Replica::append_as_leader(LogEntry entry, Instant now) {
  LogFrame frame;
  frame.entries.push_back(entry);
  if (!persist(frame)) {
    return;
  }
  const bool changes_replicas = entry.type == EntryType::kReplicas;
  entries_.push_back(std::move(entry));
  if (changes_replicas) {
    find_replicas();
  }
  advance_commit(now);
  replicate_to_all(now);
}

std::optional<LogIndex> Replica::propose(EntryType type, Bytes payload, Instant now) {
  if (!has_lease(now) || failed_) {
    return std::nullopt;
  }
  const LogIndex index = last_index() + 1;
  append_as_leader({hard_state_.term, index, type, std::move(payload)}, now);
  return failed_ ? std::nullopt : std::optional(index);
}

void Replica::replicate_to_all(Instant now) {
  for (const auto& replica : std::vector<ReplicaInfo>(replicas_.replicas)) {
    if (replica.id != config_.id) {
      replicate_to(replica, now);
    }
  }
}

void Replica::replicate_to(const ReplicaInfo& replica, Instant now) {
  Progress& progress = progress_[replica.id];
  progress.last_sent = now;
  if (progress.next_index <= snapshot_index()) {
    send(replica.address, hard_state_.term, {0, 0, SnapshotRequest{*snapshot_, to_us(now)}});
    return;
  }
  AppendRequest request;
  request.previous_index = progress.next_index - 1;
  request.previous_term = term_at(request.previous_index);
  request.commit_index = commit_index_;
  request.sent_at_us = to_us(now);
  std::size_t size = 0;
  for (LogIndex index = progress.next_index; index <= last_index() && size < kAppendSize; ++index) {
    request.entries.push_back(*entry(index));
    size += request.entries.back().payload.size();
  }
  send(replica.address, hard_state_.term, {0, 0, std::move(request)});
}

void Replica::handle(const ReplicaMessage& message, const AppendRequest& request, Instant now) {
  become_follower(message.term, now);
  leader_ = message.from;
  leader_heard_at_ = now;
  reset_election_timer(now);
  // A learner that was just taken in may learn its leader's address from these very entries.
  std::optional<Endpoint> leader_address = this->leader_address();
  AppendReply reply{false, 0, request.sent_at_us};
  const bool covered = request.previous_index < snapshot_index();
  if (!covered && request.previous_index > last_index()) {
    reply.index = last_index() + 1;
  } else if (!covered && term_at(request.previous_index) != request.previous_term) {
    reply.index = std::max(request.previous_index, snapshot_index() + 1);
  } else {
    LogFrame frame;
    for (const auto& incoming : request.entries) {
      if (incoming.index <= snapshot_index()) {
        continue;
      }
      if (frame.entries.empty() && term_at(incoming.index) == incoming.term) {
        continue;
      }
      if (frame.entries.empty() && incoming.index <= last_index()) {
        frame.truncate_from = incoming.index;
      }
      frame.entries.push_back(incoming);
    }
    if (!frame.entries.empty()) {
      if (!persist(frame)) {
        return;
      }
      entries_.resize(frame.entries.front().index - snapshot_index() - 1);
      entries_.insert(entries_.end(), frame.entries.begin(), frame.entries.end());
      find_replicas();
    }
    reply.accepted = true;
    reply.index = request.previous_index + request.entries.size();
    commit_index_ = std::max(commit_index_, std::min(request.commit_index, reply.index));
    apply_committed();
  }
  if (!leader_address) {
    leader_address = this->leader_address();
  }
  if (leader_address) {
    send(*leader_address, hard_state_.term, {0, 0, reply});
  }
}

void Replica::handle(const ReplicaMessage& message, const AppendReply& reply, Instant now) {
  if (!is_leader() || message.term != hard_state_.term) {
    return;
  }
  const ReplicaInfo* known = replicas_.find(message.from);
  if (known == nullptr) {
    return;
  }
  // A copy: what is committed here may change the set.
  const ReplicaInfo replica = *known;
  Progress& progress = progress_[message.from];
  progress.confirmed_at = std::max(progress.confirmed_at, from_us(reply.sent_at_us));
  if (reply.accepted) {
    progress.match_index = std::max(progress.match_index, reply.index);
    progress.next_index = std::max(progress.next_index, progress.match_index + 1);
    advance_commit(now);
    if (progress.next_index <= last_index()) {
      replicate_to(replica, now);
    }
  } else if (reply.index > progress.match_index) {
    progress.next_index = std::min(reply.index, last_index() + 1);
    replicate_to(replica, now);
  }
}

void Replica::handle(const ReplicaMessage& message, const SnapshotRequest& request, Instant now) {
  become_follower(message.term, now);
  leader_ = message.from;
  leader_heard_at_ = now;
  reset_election_timer(now);
  const Snapshot& snapshot = request.snapshot;
  if (snapshot.index > commit_index_) {
    const bool keeps_rest = term_at(snapshot.index) == snapshot.term;
    std::vector<LogEntry> rest;
    if (keeps_rest) {
      rest.assign(entries_.begin() + static_cast<std::ptrdiff_t>(snapshot.index - snapshot_index()),
                  entries_.end());
    }
    failed_ = !storage_.replace_with_snapshot(snapshot, {hard_state_, std::nullopt, rest});
    if (failed_) {
      return;
    }
    snapshot_ = snapshot;
    entries_ = std::move(rest);
    commit_index_ = snapshot.index;
    applied_index_ = snapshot.index;
    state_.restore(snapshot.state);
    find_replicas();
  }
  if (const ReplicaInfo* leader = replicas_.find(message.from)) {
    const AppendReply reply{true, snapshot.index, request.sent_at_us};
    send(leader->address, hard_state_.term, {0, 0, reply});
  }
}

void Replica::advance_commit(Instant now) {
  if (!is_leader()) {
    return;
  }
  std::vector<LogIndex> matched;
  for (const auto& replica : replicas_.replicas) {
    if (replica.voter) {
      matched.push_back(replica.id == config_.id ? last_index()
                                                 : progress_[replica.id].match_index);
    }
  }
  if (matched.empty()) {
    return;
  }
  std::sort(matched.begin(), matched.end(), std::greater<>());
  const std::size_t needed = config_.faults.commit_without_majority ? 1 : replicas_.majority();
  const LogIndex committed = matched[needed - 1];
  // Only entries of the own term are committed by counting (Raft, section 3.6.2).
  if (committed > commit_index_ && term_at(committed) == hard_state_.term) {
    commit_index_ = committed;
    apply_committed();
    change_replicas(now);
    if (!replicas_.is_voter(config_.id)) {
      role_ = ReplicaRole::kFollower;
      return;
    }
    // Followers serve balancers, too: they learn of the commit at once, not with the next append.
    replicate_to_all(now);
  }
}

void Replica::apply_committed() {
  while (applied_index_ < commit_index_) {
    ++applied_index_;
    const LogEntry* committed = entry(applied_index_);
    state_.apply(*committed);
    applied_octets_ += committed->payload.size();
  }
  maybe_snapshot();
}

void Replica::maybe_snapshot() {
  if (applied_index_ - snapshot_index() < kSnapshotEntries && applied_octets_ < kSnapshotOctets) {
    return;
  }
  applied_octets_ = 0;
  Snapshot snapshot;
  snapshot.index = applied_index_;
  snapshot.term = term_at(applied_index_);
  snapshot.state = state_.save();
  snapshot.replicas = snapshot_ ? snapshot_->replicas : first_replicas_;
  for (const auto& one : entries_) {
    if (one.index <= applied_index_ && one.type == EntryType::kReplicas) {
      snapshot.replicas = decode_archive<ReplicaSet>(one.payload).value_or(snapshot.replicas);
    }
  }
  std::vector<LogEntry> rest(
      entries_.begin() + static_cast<std::ptrdiff_t>(applied_index_ - snapshot_index()),
      entries_.end());
  failed_ = !storage_.replace_with_snapshot(snapshot, {hard_state_, std::nullopt, rest});
  snapshot_ = std::move(snapshot);
  entries_ = std::move(rest);
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
