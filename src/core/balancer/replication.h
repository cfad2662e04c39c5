/// Replicates partition state from an owner to its backup; both sides.
#pragma once

#include "core/balancer/balancer_state.h"

namespace gorsevalve {

/// Events of the replication, for the request path.
class ReplicationListener {
 public:
  virtual ~ReplicationListener() = default;
  /// The backup acknowledged the record of a non-idempotent request.
  virtual void on_recorded(Partition& partition, const RequestId& id, Instant now) = 0;
  /// A newer owner has taken over the partition: this process must stop serving it.
  virtual void on_superseded(Partition& partition, Instant now) = 0;
};

/// Owner side: sends changes and retransmits them until they are acknowledged.
class Replicator {
 public:
  Replicator(BalancerState& state, ReplicationListener& listener)
      : state_(state), listener_(listener) {}

  /// Sends the record of a non-idempotent request at once, in a separate batch.
  void replicate_now(Partition& partition, const RequestRecord& record, Instant now);

  /// Marks a record as changed; it is sent with the next batch.
  void mark_changed(Partition& partition, const RequestRecord& record);

  /// Marks a record as deleted; the backup deletes its copy.
  void mark_deleted(Partition& partition, const RequestRecord& record);

  /// Starts a full copy to the partition's backup.
  void start_copy(Partition& partition);
  /// Sends the unacknowledged records of the partition to its new backup.
  void resend_unacknowledged_records(Partition& partition, Instant now);

  void on_reply(const ReplicateReply& reply, Instant now);
  void on_tick(Instant now);

 private:
  /// A record that was sent in a separate batch.
  struct PendingRecord {
    ReplicateRequest message;
    Endpoint backup;
    RequestId id;
    Instant next_send;
  };

  void send_next_batch(Partition& partition, Instant now);
  [[nodiscard]] StateBatch take_batch(Partition& partition) const;
  void retransmit_records(Instant now);
  void on_batch_acknowledged(Partition& partition, Instant now);

  BalancerState& state_;
  ReplicationListener& listener_;
  std::uint64_t last_batch_ = 0;
  absl::btree_map<std::uint64_t, PendingRecord> pending_;
};

/// Backup side: stores the copies.
class BackupStore {
 public:
  explicit BackupStore(BalancerState& state) : state_(state) {}

  void on_request(const Endpoint& from, const ReplicateRequest& request, Instant now);

  /// The copied state, for transfer to the next owner.
  [[nodiscard]] static StateBatch content(const StateCopy& copy);

  void drop_unused(Instant now);

 private:
  static void apply(StateCopy& copy, const ReplicateRequest& request);
  static void drop_older(StateCopy& copy);

  BalancerState& state_;
};

/// Returns a record as it is replicated to the backup. The copy may be older than the owner's
/// record, so it never states that the request was not sent. It contains the request message for
/// observations only.
RequestRecord to_backup_record(const RequestRecord& record);

/// Time left until `until` in milliseconds; 0 when it has passed.
std::uint32_t milliseconds_until(Instant until, Instant now);

/// Approximate encoded size in bytes, for splitting batches.
std::size_t estimated_size(const RequestRecord& record);
constexpr std::size_t kEstimatedFlowSize = 28;
/// Approximate size of a batch in bytes; a batch fits into one datagram on an Ethernet path.
constexpr std::size_t kBatchSize = 1100;

}  // namespace gorsevalve
