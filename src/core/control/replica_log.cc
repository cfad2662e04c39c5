/// Log replication: appends, commit, snapshots. Source: see replica_messages.h.
#include <algorithm>
#include <iterator>

#include "codec/archive.h"
#include "core/control/replica.h"
#include "core/control/timing.h"

namespace gorsevalve {
namespace {

/// Payload size in bytes at which an AppendRequest is full.
constexpr std::size_t kMaxAppendBytes = 256 * 1024;
/// Append intervals after which unacknowledged data is retransmitted.
constexpr int kRetransmitIntervals = 5;

std::int64_t to_us(Instant instant) { return instant.time_since_epoch().count(); }
Instant from_us(std::int64_t us) { return Instant(Duration(us)); }

}  // namespace

void Replica::append_as_leader(LogEntry entry, Instant now) {
  const bool changes_replicas = entry.type == EntryType::kReplicas;
  LogFrame frame;
  frame.entries.push_back(std::move(entry));
  if (!persist(frame)) {
    step_down_after_write_failure(now);
    return;
  }
  entries_.push_back(std::move(frame.entries.back()));
  if (changes_replicas) {
    load_replica_set();
  }
  advance_commit(now);
  replicate_to_all(now);
}

void Replica::replicate_to_all(Instant now) {
  for (const auto& replica : std::vector<ReplicaInfo>(replicas_.replicas)) {
    if (replica.id != config_.id) {
      replicate_to(replica, now);
    }
  }
}

void Replica::send_snapshot(const ReplicaInfo& replica, Instant now) {
  Progress& progress = progress_[replica.id];
  if (now < progress.snapshot_retransmit_at) {
    return;
  }
  progress.snapshot_retransmit_at = now + kRetransmitIntervals * config_.timing.append_interval;
  send(replica.address, hard_state_.term,
       {0, 0, SnapshotRequest{config_.address, *snapshot_, to_us(now)}});
}

void Replica::replicate_to(const ReplicaInfo& replica, Instant now) {
  Progress& progress = progress_[replica.id];
  progress.last_sent = now;
  if (progress.first_unacked_index != 0 && now >= progress.retransmit_at) {
    progress.next_index = std::min(progress.next_index, progress.first_unacked_index);
  }
  if (progress.next_index <= snapshot_index()) {
    send_snapshot(replica, now);
    return;
  }
  AppendRequest request;
  request.leader = config_.address;
  request.previous_index = progress.next_index - 1;
  request.previous_term = term_at(request.previous_index);
  request.commit_index = commit_index_;
  request.sent_at_us = to_us(now);
  request.has_lease = has_lease(now);
  std::size_t size = progress.is_probing ? kMaxAppendBytes : 0;
  for (LogIndex index = progress.next_index; index <= last_index() && size < kMaxAppendBytes;
       ++index) {
    request.entries.push_back(*entry(index));
    size += request.entries.back().payload.size();
  }
  if (!request.entries.empty()) {
    // Entries in flight are not repeated in the next append, which would send a large entry many
    // times.
    if (progress.first_unacked_index == 0 || progress.next_index <= progress.first_unacked_index) {
      progress.first_unacked_index = progress.next_index;
      progress.retransmit_at = now + kRetransmitIntervals * config_.timing.append_interval;
    }
    progress.next_index = request.entries.back().index + 1;
  }
  send(replica.address, hard_state_.term, {0, 0, std::move(request)});
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
  // Only entries of the current term are committed by counting replicas (Raft, section 3.6.2).
  if (committed > commit_index_ && term_at(committed) == hard_state_.term) {
    commit_index_ = committed;
    apply_committed();
    propose_replica_change(now);
    if (!replicas_.is_voter(config_.id)) {
      role_ = ReplicaRole::kFollower;
      return;
    }
    // Followers serve balancers as well, so they learn of the commit at once instead of with the
    // next append.
    replicate_to_all(now);
  }
}

void Replica::apply_committed() {
  while (applied_index_ < commit_index_) {
    ++applied_index_;
    const LogEntry* committed = entry(applied_index_);
    state_.apply(*committed);
    applied_bytes_ += committed->payload.size();
  }
  maybe_snapshot();
}

void Replica::maybe_snapshot() {
  if (applied_index_ - snapshot_index() < kSnapshotEntryThreshold &&
      applied_bytes_ < kSnapshotByteThreshold) {
    return;
  }
  applied_bytes_ = 0;
  Snapshot snapshot;
  snapshot.index = applied_index_;
  snapshot.term = term_at(applied_index_);
  snapshot.state = state_.save();
  snapshot.replicas = snapshot_ ? snapshot_->replicas : initial_replicas_;
  for (const auto& logged_entry : entries_) {
    if (logged_entry.index <= applied_index_ && logged_entry.type == EntryType::kReplicas) {
      snapshot.replicas =
          decode_archive<ReplicaSet>(logged_entry.payload).value_or(snapshot.replicas);
    }
  }
  std::vector<LogEntry> remaining_entries(
      entries_.begin() + static_cast<std::ptrdiff_t>(applied_index_ - snapshot_index()),
      entries_.end());
  if (!storage_.replace_with_snapshot(
          snapshot, {hard_state_, std::nullopt, remaining_entries, snapshot.index})) {
    failed_ = !storage_.can_retry();
    return;
  }
  hard_state_dirty_ = false;
  snapshot_ = std::move(snapshot);
  entries_ = std::move(remaining_entries);
}

void Replica::follow_leader(const ReplicaMessage& message, Instant now) {
  become_follower(message.term, now);
  if (leader_ != message.from) {
    leader_has_lease_ = false;
  }
  leader_ = message.from;
  if (hard_state_.leader != message.from) {
    // Stored with the next frame.
    hard_state_.leader = message.from;
    hard_state_dirty_ = true;
  }
  last_leader_contact_ = now;
  reset_election_timer(now);
}

bool Replica::store_entries(const AppendRequest& request) {
  LogFrame frame;
  for (const auto& incoming : request.entries) {
    const bool covered = incoming.index <= snapshot_index();
    const bool known = frame.entries.empty() && term_at(incoming.index) == incoming.term;
    if (covered || known) {
      continue;
    }
    if (frame.entries.empty() && incoming.index <= last_index()) {
      frame.truncate_from = incoming.index;
    }
    frame.entries.push_back(incoming);
  }
  if (frame.entries.empty()) {
    return true;
  }
  if (!persist(frame)) {
    return false;
  }
  entries_.resize(frame.entries.front().index - snapshot_index() - 1);
  std::move(frame.entries.begin(), frame.entries.end(), std::back_inserter(entries_));
  load_replica_set();
  return true;
}

void Replica::handle(const ReplicaMessage& message, const AppendRequest& request, Instant now) {
  follow_leader(message, now);
  leader_commit_ = std::max(leader_commit_, request.commit_index);
  leader_has_lease_ = request.has_lease;
  AppendReply reply{false, 0, request.sent_at_us};
  const bool covered = request.previous_index < snapshot_index();
  if (!covered && request.previous_index > last_index()) {
    reply.index = last_index() + 1;
  } else if (!covered && term_at(request.previous_index) != request.previous_term) {
    // Committed entries match the leader's log, so the search never goes below them.
    reply.index = std::min(request.previous_index, commit_index_ + 1);
  } else {
    if (!store_entries(request)) {
      return;
    }
    reply.accepted = true;
    reply.index = request.previous_index + request.entries.size();
    commit_index_ = std::max(commit_index_, std::min(request.commit_index, reply.index));
    apply_committed();
  }
  send(request.leader, hard_state_.term, {0, 0, reply});
}

void Replica::handle(const ReplicaMessage& message, const AppendReply& reply, Instant now) {
  if (!is_leader() || message.term != hard_state_.term) {
    return;
  }
  const ReplicaInfo* known = replicas_.find(message.from);
  if (known == nullptr) {
    return;
  }
  // Copied because a commit may change the replica set.
  const ReplicaInfo replica = *known;
  Progress& progress = progress_[message.from];
  progress.acked_send_time = std::max(progress.acked_send_time, from_us(reply.sent_at_us));
  if (reply.accepted) {
    progress.is_probing = false;
    progress.match_index = std::max(progress.match_index, reply.index);
    progress.next_index = std::max(progress.next_index, progress.match_index + 1);
    const bool all_acked = progress.match_index + 1 >= progress.next_index;
    progress.first_unacked_index = all_acked ? 0 : progress.match_index + 1;
    progress.retransmit_at = now + kRetransmitIntervals * config_.timing.append_interval;
    advance_commit(now);
    if (progress.next_index <= last_index()) {
      replicate_to(replica, now);
    }
  } else if (reply.index > 0 && reply.index < progress.next_index) {
    // Ignores rejections of appends that were sent before the last step back: their index is not
    // smaller.
    progress.next_index = std::max(reply.index, progress.match_index + 1);
    progress.first_unacked_index = 0;
    progress.is_probing = true;
    replicate_to(replica, now);
  }
}

void Replica::handle(const ReplicaMessage& message, const SnapshotRequest& request, Instant now) {
  follow_leader(message, now);
  const Snapshot& snapshot = request.snapshot;
  if (snapshot.index > commit_index_) {
    const bool keeps_suffix = term_at(snapshot.index) == snapshot.term;
    std::vector<LogEntry> remaining_entries;
    if (keeps_suffix) {
      remaining_entries.assign(
          entries_.begin() + static_cast<std::ptrdiff_t>(snapshot.index - snapshot_index()),
          entries_.end());
    }
    if (!storage_.replace_with_snapshot(
            snapshot, {hard_state_, std::nullopt, remaining_entries, snapshot.index})) {
      failed_ = !storage_.can_retry();
      return;
    }
    hard_state_dirty_ = false;
    snapshot_ = snapshot;
    entries_ = std::move(remaining_entries);
    commit_index_ = snapshot.index;
    applied_index_ = snapshot.index;
    state_.restore(snapshot.state);
    load_replica_set();
  }
  const AppendReply reply{true, snapshot.index, request.sent_at_us};
  send(request.leader, hard_state_.term, {0, 0, reply});
}

}  // namespace gorsevalve
