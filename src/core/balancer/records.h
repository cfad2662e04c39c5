/// State of the flows and requests of the partitions that a balancer owns. It is replicated to the
/// backup and transferred to the next owner.
#pragma once

#include <cstdint>

#include "codec/coap.h"
#include "model/bytes.h"
#include "model/flow.h"
#include "model/time.h"

namespace gorsevalve {

/// Index of a partition, below Settings::partitions.
using PartitionId = std::uint32_t;

/// How a request may be handled when its outcome is unknown.
enum class RequestKind : std::uint8_t {
  /// Idempotent: may be sent again.
  kIdempotent = 0,
  /// Non-idempotent: runs at most once. It is recorded at the backup first, then sent once to one
  /// target.
  kNonIdempotent = 1,
  /// Observe registration (RFC 7641): stays open and gets any number of notifications.
  kObserve = 2,
};

enum class RequestState : std::uint8_t {
  /// Waits for the backup to acknowledge the record. Not sent to a target yet.
  kRecording = 0,
  /// Queued until its target has capacity. Not sent to a target yet.
  kQueued = 1,
  /// Sent to its target; no final response yet.
  kDispatched = 2,
  /// The target has responded. For observations: open.
  kAnswered = 3,
  /// This balancer has responded with a verdict.
  kGivenUp = 4,
};

/// A flow and the target that it is bound to.
struct FlowRecord {
  Endpoint target;
  /// Next message id for messages that the targets initiate (RFC 7252 section 4.4).
  std::uint16_t next_message_id = 0;
  /// Number of open observations of the flow.
  std::uint16_t observations = 0;
  /// Time of the last datagram in either direction, in seconds of the owner's monotonic clock.
  std::uint32_t last_active_s = 0;
};

/// Sequence state of an open observation (RFC 7641 section 3.4).
struct ObserveState {
  /// Last Observe values received from the target and sent to the client.
  std::uint32_t last_in = 0;
  std::uint32_t last_out = 0;
  /// Added to the target's Observe values after the observation moved to another target.
  std::uint32_t offset = 0;
  /// The observation has moved: the next Observe value from the target determines a new offset.
  bool moved = false;
  /// Message ids of the last notification, as sent to the client and as received from the target.
  std::uint16_t message_id_out = 0;
  std::uint16_t message_id_in = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& last_in& last_out& offset& moved& message_id_out& message_id_in;
  }
};

/// One request, from its arrival until its record is deleted.
struct RequestRecord {
  FlowKey flow;
  RequestId id;
  CoapToken token;
  std::uint16_t message_id = 0;
  CoapType type = CoapType::kConfirmable;
  RequestKind kind = RequestKind::kIdempotent;
  RequestState state = RequestState::kDispatched;
  /// The verdict and its retry time; valid in state kGivenUp.
  Execution execution = Execution::kMayHaveRun;
  std::uint8_t retry_after_s = 0;
  /// Incremented by each change; the backup keeps the record with the highest version.
  std::uint32_t version = 0;
  /// Number of times it was sent to another target after a refusal.
  std::uint8_t retries = 0;
  /// Continuation of a block-wise transfer (RFC 7959): never rejected because of overload.
  bool continuation = false;
  Endpoint target;
  /// When to process the record again: to resend it, give up, or delete it. Local to the process.
  Instant deadline;
  /// When to give up on a dispatched request. Local to the process.
  Instant give_up_at;
  /// Number of times it was resent to the same target.
  std::uint8_t resends = 0;
  ObserveState observe_state;
  /// The request as received from the client. Kept while the request is queued, and for
  /// observations while they are open.
  Bytes request;
  /// Final response to a non-idempotent request.
  Bytes response;

  /// True while the request counts towards its target's limit.
  [[nodiscard]] bool is_outstanding() const { return state == RequestState::kDispatched; }
  [[nodiscard]] bool is_unsent() const {
    return state == RequestState::kRecording || state == RequestState::kQueued;
  }

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& flow& id& token& message_id& type& kind& state& execution& retry_after_s& version&
        continuation& target& observe_state& request& response;
  }
};

/// A flow record with its key, as transferred between balancers.
struct FlowTransferRecord {
  FlowKey flow;
  Endpoint target;
  std::uint16_t next_message_id = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& flow& target& next_message_id;
  }
};

/// Changes to the state of one partition, as sent to the backup or to the next owner.
struct StateBatch {
  std::vector<FlowTransferRecord> flow_records;
  std::vector<RequestRecord> requests;
  /// Requests whose records are deleted.
  std::vector<RequestId> deleted_requests;

  [[nodiscard]] bool empty() const {
    return flow_records.empty() && requests.empty() && deleted_requests.empty();
  }

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& flow_records& requests& deleted_requests;
  }
};

}  // namespace gorsevalve
