/// One ownership partition as a balancer sees it: its role, its state as owner, the copy it holds
/// as backup, and the transfers under way.
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
  /// Datagrams go to the owner.
  kNone = 0,
  /// Owner under the present members; still fetching the state.
  kAcquiring = 1,
  /// Decides for the partition.
  kOwner = 2,
};

/// A process that may hold the state of a partition.
struct TakeoverSource {
  Endpoint address;
  /// False for a backup: it never decides, so datagrams are not passed to it.
  bool was_owner = false;
};

/// A datagram that waits until the state has arrived.
struct BufferedDatagram {
  ProxyHeader header;
  Bytes payload;
};

/// Progress of fetching a partition's state.
struct Acquisition {
  /// Membership revision that made this process the owner.
  Revision revision = 0;
  /// Incarnation of the owner before; 0 when there was none.
  std::uint64_t previous_owner = 0;
  std::vector<TakeoverSource> sources;
  std::size_t source = 0;
  std::uint32_t next_chunk = 0;
  Instant last_sent;
  Instant last_heard;
  /// The sources are not asked before this process has a lease, or until this instant.
  Instant waits_until;
  /// This process owned the partition before the last change but one, and still has its state.
  bool retains_state = false;
  std::vector<BufferedDatagram> buffered;

  [[nodiscard]] bool has_source() const { return source < sources.size(); }
};

/// State that was frozen for the next owner.
struct OutgoingTransfer {
  Endpoint to;
  /// Membership revision of the new owner.
  Revision revision = 0;
  std::vector<StateBatch> chunks;
  SourceState source_state = SourceState::kComplete;
  Instant incomplete_until;
  Instant last_asked;
};

/// Changes that the backup has not confirmed.
struct UnconfirmedChanges {
  absl::btree_set<FlowKey> changed_flows;
  absl::btree_set<RequestId> requests;
  std::vector<RequestId> deleted_requests;

  [[nodiscard]] bool empty() const {
    return changed_flows.empty() && requests.empty() && deleted_requests.empty();
  }
};

/// A batch on its way to the backup.
struct BatchInFlight {
  ReplicateRequest message;
  Instant next_send;
  Duration interval{};
};

/// Copy of another owner's partition.
struct StateCopy {
  struct Flow {
    FlowTransferRecord record;
    Revision revision = 0;
  };
  struct Request {
    RequestRecord record;
    Revision revision = 0;
  };
  /// Revision since which its owner has this backup.
  Revision revision = 0;
  /// Incarnation of that owner.
  std::uint64_t owner = 0;
  bool complete = false;
  Instant incomplete_until;
  Instant last_change;
  absl::btree_map<FlowKey, Flow> flow_records;
  absl::btree_map<RequestId, Request> requests;

  /// True when it has all records of the last owner, whose incarnation is given. A copy of an
  /// earlier owner's state, or of one that a newer revision has sealed off, lacks what was decided
  /// since, by an owner with another backup.
  [[nodiscard]] bool is_complete(Revision sealed_revision, std::uint64_t last_owner) const {
    return complete && revision >= sealed_revision && owner == last_owner;
  }
};

struct Partition {
  Partition(PartitionId number, RequestPool& pool) : id(number), store(pool) {}

  PartitionId id;
  PartitionRole role = PartitionRole::kNone;
  PartitionStore store;

  /// Since when this process decides although the members give the partition to another one.
  std::optional<Instant> unclaimed_since;
  /// After this process was superseded: when it may ask for the state again.
  std::optional<Instant> retry_at;
  /// As owner: revision since which owner and backup are the same, and the backup.
  Revision owner_revision = 0;
  std::optional<Endpoint> backup;
  /// Once-only requests are not run before this instant: records may have been lost.
  Instant incomplete_until;
  UnconfirmedChanges unconfirmed;
  bool copy_pending = false;
  std::optional<BatchInFlight> in_flight;

  std::optional<Acquisition> acquisition;
  std::optional<OutgoingTransfer> outgoing;

  /// As backup: changes of owners under older revisions are refused.
  Revision fenced_revision = 0;
  std::unique_ptr<StateCopy> copy;
};

}  // namespace gorsevalve
