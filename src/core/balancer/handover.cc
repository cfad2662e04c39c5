#include "core/balancer/handover.h"

#include <algorithm>
#include <utility>

#include "core/balancer/timing.h"

namespace gorsevalve {
namespace {

/// Maximum number of datagrams buffered per partition. Further ones are dropped; clients retransmit
/// them.
constexpr std::size_t kMaxBufferedDatagrams = 512;

}  // namespace

void Handover::on_members(Instant now) {
  const FleetView& view = *state_.view();
  state_.set_owned_share(std::max(view.owned_share(state_.self()), served_share()));
  for (PartitionId id = 0; id < view.state().partitions; ++id) {
    if (is_own(view.owner(id))) {
      follow_assignment(state_.partitions().at(id), now);
    } else if (state_.partitions().find(id) != nullptr) {
      cancel_if_source_keeps(state_.partitions().at(id));
    }
  }
}

double Handover::served_share() const {
  const auto& partitions = state_.partitions().used();
  const auto served = std::count_if(
      partitions.begin(), partitions.end(),
      [](const Partition* partition) { return partition->role == PartitionRole::kOwner; });
  return static_cast<double>(served) / state_.view()->state().partitions;
}

bool Handover::is_own(const Member* member) const {
  return member != nullptr && member->address == state_.self() &&
         member->incarnation == state_.config().self.incarnation;
}

void Handover::cancel_if_source_keeps(Partition& partition) {
  // The members changed again before the state arrived. Usually the transfer continues, since the
  // next owner requests the state from this process. If the process that has the state becomes the
  // owner again, it keeps the state.
  if (partition.role != PartitionRole::kAcquiring || !partition.acquisition->has_source()) {
    return;
  }
  const Member* owner = state_.view()->owner(partition.id);
  const Endpoint source = partition.acquisition->sources[partition.acquisition->source].address;
  if (owner != nullptr && owner->address == source && partition.acquisition->next_chunk == 0) {
    partition.acquisition.reset();
    partition.role = PartitionRole::kNone;
  }
}

void Handover::follow_assignment(Partition& partition, Instant now) {
  if (partition.role == PartitionRole::kNone) {
    start_acquisition(partition, now);
    return;
  }
  if (partition.role != PartitionRole::kOwner) {
    return;
  }
  partition.unclaimed_since.reset();
  if (!is_own(state_.view()->previous_owner(partition.id))) {
    // Another process owned the partition in between and may have changed its state.
    start_acquisition(partition, now);
    partition.acquisition->retains_state = true;
    return;
  }
  const Member* backup = state_.view()->backup(partition.id);
  const std::optional<Endpoint> address =
      backup == nullptr ? std::nullopt : std::optional(backup->address);
  if (address != partition.backup) {
    set_backup(partition, state_.view()->members_revision());
    replicator_.resend_unacknowledged_records(partition, now);
  }
}

void Handover::set_backup(Partition& partition, Revision revision) {
  const Member* backup = state_.view()->backup(partition.id);
  const bool usable = backup != nullptr && backup->address != state_.self();
  partition.backup = usable ? std::optional(backup->address) : std::nullopt;
  partition.owner_revision = revision;
  binding_.mark_for_replication(partition);
  replicator_.start_copy(partition);
}

std::vector<TakeoverSource> Handover::find_sources(PartitionId partition) const {
  const FleetView& view = *state_.view();
  std::vector<TakeoverSource> sources;
  const auto add = [&](const Member* member, bool was_owner) {
    const bool alive =
        member != nullptr && view.member(member->address, member->incarnation) != nullptr;
    if (alive && member->address != state_.self()) {
      sources.push_back({member->address, was_owner});
    }
  };
  add(view.previous_owner(partition), true);
  add(view.previous_backup(partition), false);
  return sources;
}

void Handover::start_acquisition(Partition& partition, Instant now) {
  partition.role = PartitionRole::kAcquiring;
  partition.outgoing.reset();
  Acquisition acquisition;
  acquisition.revision = state_.view()->members_revision();
  const Member* previous = state_.view()->previous_owner(partition.id);
  acquisition.previous_owner = previous == nullptr ? 0 : previous->incarnation;
  acquisition.sources = find_sources(partition.id);
  acquisition.last_reply_at = now;
  acquisition.waits_until = now + timing::kLeaseWait;
  partition.acquisition = std::move(acquisition);
  if (state_.view()->is_first_membership()) {
    finish(partition, true, now);
    return;
  }
  if (!waits_for_lease(*partition.acquisition, now)) {
    request_chunk(partition, now);
  }
}

bool Handover::waits_for_lease(const Acquisition& acquisition, Instant now) const {
  return now >= state_.lease_until() && now < acquisition.waits_until;
}

bool Handover::take_own_copy(Partition& partition, Instant now) {
  if (!is_own(state_.view()->previous_backup(partition.id)) || partition.copy == nullptr) {
    return false;
  }
  const bool complete =
      partition.copy->is_complete(partition.fenced_revision, partition.acquisition->previous_owner);
  partition.fenced_revision = std::max(partition.fenced_revision, partition.acquisition->revision);
  const std::unique_ptr<StateCopy> copy = std::move(partition.copy);
  partition.incomplete_until = std::max(partition.incomplete_until, copy->incomplete_until);
  import(partition, BackupStore::content(*copy), now);
  return complete;
}

void Handover::request_chunk(Partition& partition, Instant now) {
  Acquisition& acquisition = *partition.acquisition;
  if (!acquisition.has_source()) {
    const bool complete = take_own_copy(partition, now);
    finish(partition, complete, now);
    return;
  }
  acquisition.last_request_at = now;
  const TakeoverRequest request{acquisition.revision, partition.id, acquisition.next_chunk,
                                acquisition.previous_owner};
  state_.output().send_peer(acquisition.sources[acquisition.source].address, request);
}

void Handover::next_source(Partition& partition, Instant now) {
  Acquisition& acquisition = *partition.acquisition;
  ++acquisition.source;
  acquisition.next_chunk = 0;
  acquisition.last_reply_at = now;
  request_chunk(partition, now);
}

void Handover::on_takeover_chunk(const Endpoint& from, const TakeoverChunk& chunk, Instant now) {
  Partition& partition = state_.partitions().at(chunk.partition);
  if (partition.role != PartitionRole::kAcquiring || !partition.acquisition->has_source()) {
    return;
  }
  Acquisition& acquisition = *partition.acquisition;
  if (acquisition.sources[acquisition.source].address != from) {
    return;
  }
  if (chunk.source_state == SourceState::kBusy) {
    acquisition.last_reply_at = now;
    return;
  }
  if (chunk.chunk != acquisition.next_chunk) {
    return;
  }
  acquisition.last_reply_at = now;
  ++acquisition.next_chunk;
  apply_chunk(partition, chunk, now);
  if (!chunk.last) {
    request_chunk(partition, now);
    return;
  }
  // An intermediate owner that never received the state changed nothing, so the retained state is
  // complete.
  const bool state_retained =
      acquisition.retains_state && acquisition.sources[acquisition.source].was_owner;
  if (chunk.source_state == SourceState::kComplete || state_retained) {
    finish(partition, true, now);
  } else {
    next_source(partition, now);
  }
}

void Handover::apply_chunk(Partition& partition, const TakeoverChunk& chunk, Instant now) {
  Acquisition& acquisition = *partition.acquisition;
  if (acquisition.retains_state && chunk.source_state == SourceState::kComplete) {
    acquisition.retains_state = false;
    binding_.clear(partition);
  }
  partition.incomplete_until = std::max(partition.incomplete_until,
                                        now + std::chrono::milliseconds(chunk.incomplete_for_ms));
  import(partition, chunk.state, now);
}

void Handover::import(Partition& partition, const StateBatch& batch, Instant now) {
  for (const auto& flow_record : batch.flow_records) {
    if (partition.store.find_flow(flow_record.flow) == nullptr) {
      binding_.bind(partition, flow_record.flow, flow_record.target, now).next_message_id =
          flow_record.next_message_id;
    }
  }
  for (const auto& record : batch.requests) {
    if (partition.store.find_request(record.id) != nullptr) {
      continue;
    }
    RequestRecord* copy = partition.store.new_request();
    *copy = record;
    partition.store.index(copy);
    listener_.on_request_imported(partition, *copy, now);
  }
}

void Handover::finish(Partition& partition, bool complete, Instant now) {
  ++state_.counters().partitions_taken_over;
  if (!complete) {
    ++state_.counters().partitions_incomplete;
    partition.incomplete_until = now + timing::kIncompleteTakeover;
  }
  std::vector<BufferedDatagram> datagrams = std::move(partition.acquisition->buffered);
  const Revision revision = partition.acquisition->revision;
  partition.acquisition.reset();
  partition.role = PartitionRole::kOwner;
  set_backup(partition, revision);
  listener_.on_acquired(partition, now);
  for (const auto& datagram : datagrams) {
    listener_.on_buffered_datagram(datagram.header, datagram.payload, now);
  }
}

void Handover::on_tick(Instant now) {
  std::vector<Partition*> acquiring;
  for (Partition* partition : state_.partitions().used()) {
    if (partition->role == PartitionRole::kAcquiring) {
      acquiring.push_back(partition);
    }
    abandon_unclaimed(*partition, now);
    retry_superseded(*partition, now);
    if (partition->outgoing &&
        now - partition->outgoing->last_requested_at > timing::kOutgoingLifetime) {
      partition->outgoing.reset();
    }
  }
  for (Partition* partition : acquiring) {
    Acquisition& acquisition = *partition->acquisition;
    if (waits_for_lease(acquisition, now)) {
      acquisition.last_reply_at = now;
    } else if (now - acquisition.last_reply_at >= timing::kTakeoverSourceTimeout) {
      next_source(*partition, now);
    } else if (now - acquisition.last_request_at >= timing::kTakeoverRetry) {
      request_chunk(*partition, now);
    }
  }
}

void Handover::buffer_datagram(Partition& partition, const ProxyHeader& header, ByteView payload) {
  auto& datagrams = partition.acquisition->buffered;
  if (datagrams.size() < kMaxBufferedDatagrams) {
    datagrams.push_back({header, Bytes(payload.begin(), payload.end())});
    ++state_.counters().datagrams_held;
  }
}

bool Handover::is_settled() const {
  const FleetView* view = state_.view().get();
  if (view == nullptr) {
    return false;
  }
  const auto& partitions = state_.partitions().used();
  return std::all_of(partitions.begin(), partitions.end(), [&](const Partition* partition) {
    return is_own(view->owner(partition->id))
               ? partition->role == PartitionRole::kOwner && !partition->copy_pending
               : partition->role == PartitionRole::kNone;
  });
}
}  // namespace gorsevalve
