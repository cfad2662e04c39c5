#include "core/balancer/replication.h"

#include <algorithm>
#include <vector>

#include "core/balancer/timing.h"

namespace gorsevalve {

std::uint32_t milliseconds_until(Instant until, Instant now) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
}

RequestRecord to_backup_record(const RequestRecord& record) {
  RequestRecord copy = record;
  if (copy.is_unsent()) {
    copy.state = RequestState::kDispatched;
  }
  if (copy.kind != RequestKind::kObserve) {
    copy.request.clear();
  }
  return copy;
}

std::size_t estimated_size(const RequestRecord& record) {
  constexpr std::size_t kFixedPart = 80;
  return kFixedPart + record.request.size() + record.response.size();
}

void Replicator::replicate_now(Partition& partition, const RequestRecord& record, Instant now) {
  PendingRecord pending;
  pending.message.members_revision = partition.owner_revision;
  pending.message.partition = partition.id;
  pending.message.owner = state_.config().self.incarnation;
  pending.message.batch = ++last_batch_;
  pending.message.changes.requests.push_back(to_backup_record(record));
  pending.backup = *partition.backup;
  pending.id = record.id;
  pending.next_send = now + timing::kBatchRetry;
  state_.output().send_peer(pending.backup, pending.message);
  pending_.emplace(pending.message.batch, std::move(pending));
}

void Replicator::mark_changed(Partition& partition, const RequestRecord& record) {
  partition.unacknowledged.requests.insert(record.id);
}

void Replicator::mark_deleted(Partition& partition, const RequestRecord& record) {
  partition.unacknowledged.requests.erase(record.id);
  partition.unacknowledged.deleted_requests.push_back(record.id);
}

void Replicator::start_copy(Partition& partition) {
  partition.in_flight.reset();
  partition.copy_pending = partition.backup.has_value();
  for (const auto& [id, record] : partition.store.requests()) {
    if (record->kind != RequestKind::kIdempotent) {
      partition.unacknowledged.requests.insert(id);
    }
  }
}

void Replicator::resend_unacknowledged_records(Partition& partition, Instant now) {
  std::vector<RequestId> recording;
  for (const auto& [id, record] : partition.store.requests()) {
    if (record->state == RequestState::kRecording) {
      recording.push_back(id);
    }
  }
  std::sort(recording.begin(), recording.end());
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    const bool outdated = entry->second.message.partition == partition.id;
    entry = outdated ? pending_.erase(entry) : std::next(entry);
  }
  for (const auto& id : recording) {
    if (!partition.backup) {
      listener_.on_recorded(partition, id, now);
    } else if (const RequestRecord* record = partition.store.find_request(id)) {
      replicate_now(partition, *record, now);
    }
  }
}

StateBatch Replicator::take_batch(Partition& partition) const {
  StateBatch batch;
  std::size_t size = 0;
  auto& changes = partition.unacknowledged;
  while (!changes.changed_flows.empty() && size < kBatchSize) {
    const FlowKey flow = *changes.changed_flows.begin();
    changes.changed_flows.erase(changes.changed_flows.begin());
    if (const FlowRecord* record = partition.store.find_flow(flow)) {
      batch.flow_records.push_back({flow, record->target, record->next_message_id});
      size += kEstimatedFlowSize;
    }
  }
  while (!changes.requests.empty() && size < kBatchSize) {
    const RequestId id = *changes.requests.begin();
    changes.requests.erase(changes.requests.begin());
    if (const RequestRecord* record = partition.store.find_request(id)) {
      batch.requests.push_back(to_backup_record(*record));
      size += estimated_size(*record);
    }
  }
  while (!changes.deleted_requests.empty() && size < kBatchSize) {
    batch.deleted_requests.push_back(changes.deleted_requests.back());
    changes.deleted_requests.pop_back();
    size += sizeof(RequestId);
  }
  return batch;
}

void Replicator::send_next_batch(Partition& partition, Instant now) {
  if (!partition.backup) {
    partition.unacknowledged = UnacknowledgedChanges{};
    return;
  }
  BatchInFlight batch;
  batch.message.members_revision = partition.owner_revision;
  batch.message.partition = partition.id;
  batch.message.owner = state_.config().self.incarnation;
  batch.message.batch = ++last_batch_;
  batch.message.changes = take_batch(partition);
  batch.message.ends_copy = partition.copy_pending && partition.unacknowledged.empty();
  batch.message.incomplete_for_ms = milliseconds_until(partition.incomplete_until, now);
  batch.interval = timing::kBatchRetry;
  batch.next_send = now + batch.interval;
  state_.output().send_peer(*partition.backup, batch.message);
  partition.in_flight = std::move(batch);
}

void Replicator::retransmit_records(Instant now) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Partition& partition = state_.partitions().at(entry->second.message.partition);
    const RequestRecord* record = partition.store.find_request(entry->second.id);
    const bool needed = record != nullptr && record->state == RequestState::kRecording;
    entry = needed ? std::next(entry) : pending_.erase(entry);
  }
  for (auto& [batch, pending] : pending_) {
    if (now >= pending.next_send) {
      pending.next_send = now + timing::kBatchRetry;
      state_.output().send_peer(pending.backup, pending.message);
    }
  }
}

void Replicator::on_tick(Instant now) {
  retransmit_records(now);
  for (Partition* partition : state_.partitions().used()) {
    if (partition->role != PartitionRole::kOwner) {
      continue;
    }
    if (partition->in_flight) {
      BatchInFlight& batch = *partition->in_flight;
      if (now >= batch.next_send) {
        batch.interval = std::min(batch.interval * 2, timing::kBatchRetryMaximum);
        batch.next_send = now + batch.interval;
        state_.output().send_peer(*partition->backup, batch.message);
      }
    } else if (!partition->unacknowledged.empty() || partition->copy_pending) {
      send_next_batch(*partition, now);
    }
  }
}

void Replicator::on_batch_acknowledged(Partition& partition, Instant now) {
  if (partition.in_flight->message.ends_copy) {
    partition.copy_pending = false;
  }
  partition.in_flight.reset();
  if (!partition.unacknowledged.empty() || partition.copy_pending) {
    send_next_batch(partition, now);
  }
}

void Replicator::on_reply(const ReplicateReply& reply, Instant now) {
  Partition& partition = state_.partitions().at(reply.partition);
  if (partition.role != PartitionRole::kOwner ||
      reply.members_revision != partition.owner_revision) {
    return;
  }
  if (!reply.accepted) {
    listener_.on_superseded(partition, now);
    return;
  }
  if (partition.in_flight && partition.in_flight->message.batch == reply.batch) {
    on_batch_acknowledged(partition, now);
    return;
  }
  const auto found = pending_.find(reply.batch);
  if (found != pending_.end()) {
    const RequestId id = found->second.id;
    pending_.erase(found);
    listener_.on_recorded(partition, id, now);
  }
}

void BackupStore::on_request(const Endpoint& from, const ReplicateRequest& request, Instant now) {
  Partition& partition = state_.partitions().at(request.partition);
  ReplicateReply reply{request.members_revision, request.partition, request.batch, false};
  const bool fenced =
      request.members_revision < partition.fenced_revision && !state_.faults().ignore_fence;
  const bool outdated =
      partition.copy != nullptr && request.members_revision < partition.copy->revision;
  if (!fenced && !outdated) {
    if (partition.copy == nullptr) {
      partition.copy = std::make_unique<StateCopy>();
    }
    apply(*partition.copy, request);
    partition.copy->last_change = now;
    partition.copy->incomplete_until =
        std::max(partition.copy->incomplete_until,
                 now + std::chrono::milliseconds(request.incomplete_for_ms));
    reply.accepted = true;
  }
  state_.output().send_peer(from, reply);
}

void BackupStore::apply(StateCopy& copy, const ReplicateRequest& request) {
  if (request.members_revision > copy.revision) {
    copy.revision = request.members_revision;
    copy.owner = request.owner;
    copy.complete = false;
  }
  for (const auto& flow_record : request.changes.flow_records) {
    copy.flow_records[flow_record.flow] = {flow_record, request.members_revision};
  }
  for (const auto& record : request.changes.requests) {
    auto& stored = copy.requests[record.id];
    if (record.version >= stored.record.version) {
      stored.record = record;
    }
    stored.revision = request.members_revision;
  }
  for (const auto& id : request.changes.deleted_requests) {
    copy.requests.erase(id);
  }
  if (request.ends_copy) {
    drop_older(copy);
    copy.complete = true;
  }
}

void BackupStore::drop_older(StateCopy& copy) {
  for (auto flow_record = copy.flow_records.begin(); flow_record != copy.flow_records.end();) {
    flow_record = flow_record->second.revision < copy.revision
                      ? copy.flow_records.erase(flow_record)
                      : std::next(flow_record);
  }
  for (auto request = copy.requests.begin(); request != copy.requests.end();) {
    request = request->second.revision < copy.revision ? copy.requests.erase(request)
                                                       : std::next(request);
  }
}

StateBatch BackupStore::content(const StateCopy& copy) {
  StateBatch batch;
  for (const auto& [flow, flow_record] : copy.flow_records) {
    batch.flow_records.push_back(flow_record.record);
  }
  for (const auto& [id, request] : copy.requests) {
    batch.requests.push_back(request.record);
  }
  return batch;
}

void BackupStore::drop_unused(Instant now) {
  for (Partition* partition : state_.partitions().used()) {
    if (partition->copy == nullptr) {
      continue;
    }
    const Member* backup =
        state_.view() == nullptr ? nullptr : state_.view()->backup(partition->id);
    const bool is_backup = backup != nullptr && backup->address == state_.self();
    if (!is_backup && now - partition->copy->last_change > timing::kCopyLifetime) {
      partition->copy.reset();
    }
  }
}

}  // namespace gorsevalve
