/// State of one partition at a balancer: its role, its records as owner, its copy as backup, and
/// the transfers in progress.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <vector>

#include "codec/proxy_header.h"
#include "core/balancer/partition_store.h"
#include "core/balancer/peer_messages.h"
#include "model/settings.h"
#include "model/time.h"

namespace gorsevalve {

enum class PartitionRole : std::uint8_t {
  /// Datagrams are relayed to the owner.
  kNone = 0,
  /// Owner under the current members; still receiving the state.
  kAcquiring = 1,
  /// Serves the partition.
  kOwner = 2,
};

/// A process that may hold the state of a partition.
struct TakeoverSource {
  Endpoint address;
  /// False for a backup: it never serves the partition, so no datagrams are relayed to it.
  bool was_owner = false;
};

/// A datagram that is buffered until the state arrives.
struct BufferedDatagram {
  ProxyHeader header;
  Bytes payload;
};

/// Progress of acquiring the state of a partition.
struct Acquisition {
  /// Membership revision that made this process the owner.
  Revision revision = 0;
  /// Incarnation of the previous owner; 0 when there was none.
  std::uint64_t previous_owner = 0;
  std::vector<TakeoverSource> sources;
  std::size_t source = 0;
  std::uint32_t next_chunk = 0;
  Instant last_request_at;
  Instant last_reply_at;
  /// Requests to the sources are delayed until this process has a lease, at most until this time.
  Instant waits_until;
  /// This process owned the partition before the previous owner, and still has its state.
  bool retains_state = false;
  std::vector<BufferedDatagram> buffered;

  [[nodiscard]] bool has_source() const { return source < sources.size(); }
};

/// State that was prepared for transfer to the next owner.
struct OutgoingTransfer {
  Endpoint to;
  /// Membership revision of the new owner.
  Revision revision = 0;
  std::vector<StateBatch> chunks;
  SourceState source_state = SourceState::kComplete;
  Instant incomplete_until;
  Instant last_requested_at;
};

/// Changes that the backup has not acknowledged and that are not in flight.
struct UnacknowledgedChanges {
  absl::btree_set<FlowKey> changed_flows;
  absl::btree_set<RequestId> requests;
  std::vector<RequestId> deleted_requests;

  [[nodiscard]] bool empty() const {
    return changed_flows.empty() && requests.empty() && deleted_requests.empty();
  }
};

/// A batch that the backup has not acknowledged.
struct BatchInFlight {
  ReplicateRequest message;
  Instant next_send;
  Duration interval{};
};

/// Backup copy of another owner's partition.
struct StateCopy {
  struct Flow {
    FlowTransferRecord record;
    Revision revision = 0;
  };
  struct Request {
    RequestRecord record;
    Revision revision = 0;
  };
  /// Revision since which the owner has used this backup.
  Revision revision = 0;
  /// Incarnation of the owner.
  std::uint64_t owner = 0;
  bool complete = false;
  Instant incomplete_until;
  Instant last_change;
  absl::btree_map<FlowKey, Flow> flow_records;
  absl::btree_map<RequestId, Request> requests;

  /// True when the copy has all records of the owner with incarnation `last_owner`. A copy from an
  /// earlier owner, or from before a fencing revision, lacks later changes that were replicated to
  /// another backup.
  [[nodiscard]] bool is_complete(Revision fencing_revision, std::uint64_t last_owner) const {
    return complete && revision >= fencing_revision && owner == last_owner;
  }
};

struct Partition {
  Partition(PartitionId number, RequestPool& pool) : id(number), store(pool) {}

  PartitionId id;
  PartitionRole role = PartitionRole::kNone;
  PartitionStore store;

  /// Since when this process has served the partition although the members assign it to another
  /// one.
  std::optional<Instant> unclaimed_since;
  /// After this process was superseded: when it may request the state again.
  std::optional<Instant> retry_at;
  /// As owner: revision since which owner and backup are unchanged, and the backup.
  Revision owner_revision = 0;
  std::optional<Endpoint> backup;
  /// Non-idempotent requests are rejected before this time, since records may be missing.
  Instant incomplete_until;
  UnacknowledgedChanges unacknowledged;
  bool copy_pending = false;
  std::optional<BatchInFlight> in_flight;

  std::optional<Acquisition> acquisition;
  std::optional<OutgoingTransfer> outgoing;

  /// As backup: batches from owners under older revisions are rejected.
  Revision fenced_revision = 0;
  std::unique_ptr<StateCopy> copy;
};

}  // namespace gorsevalve
