/// The releasing side of a handover: the previous owner, its backup, and owners that were
/// superseded.
#include <algorithm>

#include "core/balancer/handover.h"
#include "core/balancer/timing.h"

namespace gorsevalve {
namespace {

/// Splits a batch into chunks of about kBatchSize. Returns at least one chunk.
std::vector<StateBatch> split_into_chunks(StateBatch&& full_batch) {
  std::vector<StateBatch> chunks(1);
  std::size_t size = 0;
  const auto reserve = [&](std::size_t next) {
    if (size > 0 && size + next > kBatchSize) {
      chunks.emplace_back();
      size = 0;
    }
    size += next;
  };
  for (auto& flow_record : full_batch.flow_records) {
    reserve(kEstimatedFlowSize);
    chunks.back().flow_records.push_back(flow_record);
  }
  for (auto& record : full_batch.requests) {
    reserve(estimated_size(record));
    chunks.back().requests.push_back(std::move(record));
  }
  return chunks;
}

/// All state of a partition. It includes every flow, since the new owner may have another revision
/// of the slot table.
StateBatch full_state(const PartitionStore& store) {
  StateBatch batch;
  for (const auto& [flow, record] : store.flows()) {
    batch.flow_records.push_back({flow, record.target, record.next_message_id});
  }
  for (const auto& [id, record] : store.requests()) {
    batch.requests.push_back(*record);
  }
  // Hash maps are unordered; sorting makes the transfer deterministic.
  std::sort(
      batch.flow_records.begin(), batch.flow_records.end(),
      [](const FlowTransferRecord& a, const FlowTransferRecord& b) { return a.flow < b.flow; });
  std::sort(batch.requests.begin(), batch.requests.end(),
            [](const RequestRecord& a, const RequestRecord& b) { return a.id < b.id; });
  return batch;
}

}  // namespace

void Handover::freeze(Partition& partition) {
  StateBatch state = full_state(partition.store);
  if (state_.faults().drop_state_on_handover) {
    state = StateBatch{};
  }
  OutgoingTransfer outgoing;
  outgoing.chunks = split_into_chunks(std::move(state));
  outgoing.source_state = SourceState::kComplete;
  outgoing.incomplete_until = partition.incomplete_until;
  partition.outgoing = std::move(outgoing);
  partition.role = PartitionRole::kNone;
  binding_.clear(partition);
}

void Handover::offer_copy(Partition& partition, std::uint64_t last_owner) {
  if (partition.copy == nullptr && partition.outgoing) {
    // State that was prepared for another process, which may have served the partition since.
    partition.outgoing->source_state = SourceState::kIncomplete;
    return;
  }
  OutgoingTransfer outgoing;
  outgoing.source_state = SourceState::kNone;
  outgoing.chunks.emplace_back();
  if (partition.copy != nullptr) {
    outgoing.chunks = split_into_chunks(BackupStore::content(*partition.copy));
    outgoing.source_state = partition.copy->is_complete(partition.fenced_revision, last_owner)
                                ? SourceState::kComplete
                                : SourceState::kIncomplete;
    outgoing.incomplete_until = partition.copy->incomplete_until;
  }
  partition.outgoing = std::move(outgoing);
}

void Handover::prepare_outgoing(Partition& partition, const TakeoverRequest& request,
                                const Endpoint& to) {
  if (partition.role == PartitionRole::kOwner) {
    freeze(partition);
  } else if (partition.outgoing && partition.outgoing->to == to &&
             partition.outgoing->revision == request.members_revision) {
    return;
  } else {
    offer_copy(partition, request.previous_owner);
  }
  partition.outgoing->to = to;
  partition.outgoing->revision = request.members_revision;
}

bool Handover::is_stale(const Partition& partition, const TakeoverRequest& request) const {
  if (request.members_revision < partition.fenced_revision) {
    return true;
  }
  if (partition.role == PartitionRole::kNone) {
    return false;
  }
  // Stale when the current view assigns the partition to this process under the same or a newer
  // revision.
  const FleetView& view = *state_.view();
  return is_own(view.owner(partition.id)) && request.members_revision <= view.members_revision();
}

void Handover::on_takeover_request(const Endpoint& from, const TakeoverRequest& request,
                                   Instant now) {
  Partition& partition = state_.partitions().at(request.partition);
  if (is_stale(partition, request)) {
    return;
  }
  TakeoverChunk reply;
  reply.members_revision = request.members_revision;
  reply.partition = request.partition;
  reply.chunk = request.chunk;
  if (partition.role == PartitionRole::kAcquiring) {
    reply.source_state = SourceState::kBusy;
    state_.output().send_peer(from, reply);
    return;
  }
  prepare_outgoing(partition, request, from);
  partition.fenced_revision = request.members_revision;
  OutgoingTransfer& outgoing = *partition.outgoing;
  outgoing.last_requested_at = now;
  if (request.chunk >= outgoing.chunks.size()) {
    return;
  }
  reply.state = outgoing.chunks[request.chunk];
  reply.last = request.chunk + 1 == outgoing.chunks.size();
  reply.source_state = outgoing.source_state;
  reply.incomplete_for_ms = milliseconds_until(outgoing.incomplete_until, now);
  state_.output().send_peer(from, reply);
}

void Handover::abandon(Partition& partition) {
  binding_.clear(partition);
  partition.role = PartitionRole::kNone;
  partition.unclaimed_since.reset();
}

void Handover::on_superseded(Partition& partition, Instant now) {
  ++state_.counters().partitions_superseded;
  abandon(partition);
  partition.incomplete_until = now + timing::kIncompleteTakeover;
  partition.retry_at = now + timing::kTakeoverSourceTimeout;
}

void Handover::retry_superseded(Partition& partition, Instant now) {
  if (!partition.retry_at || now < *partition.retry_at) {
    return;
  }
  partition.retry_at.reset();
  if (partition.role == PartitionRole::kNone && is_own(state_.view()->owner(partition.id))) {
    start_acquisition(partition, now);
  }
}

void Handover::abandon_unclaimed(Partition& partition, Instant now) {
  const bool claimed =
      partition.role != PartitionRole::kOwner || is_own(state_.view()->owner(partition.id));
  if (claimed) {
    partition.unclaimed_since.reset();
    return;
  }
  partition.unclaimed_since = partition.unclaimed_since.value_or(now);
  if (now - *partition.unclaimed_since > timing::kUnclaimedTimeout) {
    // The new owner got the state elsewhere, or cannot reach this process.
    abandon(partition);
  }
}

bool Handover::has_released_all(Instant now) const {
  const auto& partitions = state_.partitions().used();
  return std::all_of(partitions.begin(), partitions.end(), [&](const Partition* used) {
    const Partition& partition = *used;
    const bool recently_requested =
        partition.outgoing &&
        now - partition.outgoing->last_requested_at < timing::kTakeoverSourceTimeout;
    return partition.role == PartitionRole::kNone && !recently_requested;
  });
}

}  // namespace gorsevalve
