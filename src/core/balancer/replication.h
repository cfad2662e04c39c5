/// Copies of state between an owner and the backup of its partitions, both sides.
#pragma once

#include "core/balancer/balancer_state.h"

namespace gorsevalve {

/// What replication tells the request path.
class ReplicationListener {
 public:
  virtual ~ReplicationListener() = default;
  /// The backup confirmed the record of a once-only request.
  virtual void on_recorded(Partition& partition, const RequestId& id, Instant now) = 0;
  /// A newer owner has taken the partition: this process must stop deciding for it.
  virtual void on_superseded(Partition& partition, Instant now) = 0;
};

/// Owner side: sends changes and repeats them until they are confirmed.
class Replicator {
 public:
  Replicator(BalancerState& state, ReplicationListener& listener)
      : state_(state), listener_(listener) {}

  /// Sends the record of a once-only request at once, in a batch of its own.
  void replicate_now(Partition& partition, const RequestRecord& record, Instant now);

  /// The record changed; it travels with the next batch.
  void mark_changed(Partition& partition, const RequestRecord& record);

  /// The record was forgotten; the backup may forget it too.
  void mark_deleted(Partition& partition, const RequestRecord& record);

  /// Begins a full copy to the partition's backup.
  void start_copy(Partition& partition);
  /// The backup is another one: sends the records that wait for a confirmation to it.
  void record_again(Partition& partition, Instant now);

  void on_reply(const ReplicateReply& reply, Instant now);
  void on_tick(Instant now);

 private:
  /// A record that was sent in a batch of its own.
  struct PendingRecord {
    ReplicateRequest message;
    Endpoint backup;
    RequestId id;
    Instant next_send;
  };

  void send_next_batch(Partition& partition, Instant now);
  [[nodiscard]] StateBatch take_batch(Partition& partition) const;
  void repeat_records(Instant now);
  void on_batch_confirmed(Partition& partition, Instant now);

  BalancerState& state_;
  ReplicationListener& listener_;
  std::uint64_t last_batch_ = 0;
  absl::btree_map<std::uint64_t, PendingRecord> pending_;
};

/// Backup side: holds the copies.
class BackupStore {
 public:
  explicit BackupStore(BalancerState& state) : state_(state) {}

  void on_request(const Endpoint& from, const ReplicateRequest& request, Instant now);

  /// The copied state, for the next owner.
  [[nodiscard]] static StateBatch content(const StateCopy& copy);

  void drop_unused(Instant now);

 private:
  static void apply(StateCopy& copy, const ReplicateRequest& request);
  static void drop_older(StateCopy& copy);

  BalancerState& state_;
};

/// The form in which a record is copied to the backup. A record there may lag behind the owner's,
/// so it never claims that nothing was sent; the request's own bytes go along for feeds only.
RequestRecord to_backup_record(const RequestRecord& record);

/// Time left until an instant, in milliseconds; 0 when it has passed.
std::uint32_t milliseconds_until(Instant until, Instant now);

/// Rough encoded size, in octets, for cutting batches.
std::size_t estimated_size(const RequestRecord& record);
constexpr std::size_t kEstimatedFlowSize = 28;
/// Batches are cut near this size so that they fit one datagram on an Ethernet path.
constexpr std::size_t kBatchSize = 1100;

}  // namespace gorsevalve
