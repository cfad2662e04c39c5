/// State that a balancer keeps for the flows and requests of the partitions that it owns, and that
/// it copies to the backup and to the next owner.
#pragma once

#include <cstdint>

#include "codec/coap.h"
#include "model/bytes.h"
#include "model/flow.h"
#include "model/time.h"

namespace gorsevalve {

/// Number of an ownership partition, below Settings::partitions.
using PartitionId = std::uint32_t;

/// How a request may be treated when its fate is unknown.
enum class RequestKind : std::uint8_t {
  /// Idempotent: may be sent again.
  kRepeatable = 0,
  /// Runs at most once: recorded at the backup first, then sent once to one target.
  kOnceOnly = 1,
  /// An Observe registration: stays open and gets many answers.
  kObserve = 2,
};

enum class RequestState : std::uint8_t {
  /// Waits for the backup to confirm the record. Nothing was sent to a target.
  kRecording = 0,
  /// Waits for a free place at its target. Nothing was sent to a target.
  kQueued = 1,
  /// Sent to its target; no final answer yet.
  kDispatched = 2,
  /// Answered by the target. For feeds: open.
  kAnswered = 3,
  /// Answered by this balancer with a verdict.
  kGivenUp = 4,
};

/// A flow and the target that it is bound to.
struct FlowRecord {
  Endpoint target;
  /// Next message id for messages that targets originate (RFC 7252 section 4.4).
  std::uint16_t next_message_id = 0;
  /// Open feeds of the flow.
  std::uint16_t observations = 0;
  /// Last datagram in either direction, in seconds of the owner's monotonic clock.
  std::uint32_t last_active_s = 0;
};

/// Sequence state of an open feed (RFC 7641 section 3.4).
struct ObserveState {
  /// Last Observe value taken from the target, and sent to the caller.
  std::uint32_t last_in = 0;
  std::uint32_t last_out = 0;
  /// Added to the target's values after the feed moved to another target.
  std::uint32_t offset = 0;
  /// The next value of the target starts a new offset.
  bool moved = false;
  /// Message ids of the last notification, as sent to the caller and as the target gave it.
  std::uint16_t message_id_out = 0;
  std::uint16_t message_id_in = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& last_in& last_out& offset& moved& message_id_out& message_id_in;
  }
};

/// One request, from its arrival until it may be forgotten.
struct RequestRecord {
  FlowKey flow;
  RequestId id;
  CoapToken token;
  std::uint16_t message_id = 0;
  CoapType type = CoapType::kConfirmable;
  RequestKind kind = RequestKind::kRepeatable;
  RequestState state = RequestState::kDispatched;
  /// Why it was given up on, and when to come back; meaningful in state kGivenUp.
  Execution execution = Execution::kMayHaveRun;
  std::uint8_t retry_after_s = 0;
  /// Raised with each change; a copy keeps the highest.
  std::uint32_t version = 0;
  /// Times it was sent to another target after a refusal.
  std::uint8_t retries = 0;
  /// Block-wise continuation: never refused for overload.
  bool continuation = false;
  Endpoint target;
  /// Look at the record again at this instant: send again, give up, or forget. Local to the
  /// process.
  Instant deadline;
  /// While dispatched: give up at this instant. Local to the process.
  Instant give_up_at;
  /// Times that it was sent to the same target again.
  std::uint8_t resends = 0;
  ObserveState observe_state;
  /// The request as the caller sent it: while it waits, and for feeds as long as they are open.
  Bytes request;
  /// The final answer of a once-only request.
  Bytes response;

  /// True while the request counts against its target's limit.
  [[nodiscard]] bool is_outstanding() const { return state == RequestState::kDispatched; }
  [[nodiscard]] bool is_waiting() const {
    return state == RequestState::kRecording || state == RequestState::kQueued;
  }

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& flow& id& token& message_id& type& kind& state& execution& retry_after_s& version&
        continuation& target& observe_state& request& response;
  }
};

/// A flow record with its key, for transfer.
struct FlowTransferRecord {
  FlowKey flow;
  Endpoint target;
  std::uint16_t next_message_id = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& flow& target& next_message_id;
  }
};

/// A change of the state of one partition, as it travels to the backup or to the next owner.
struct StateBatch {
  std::vector<FlowTransferRecord> flow_records;
  std::vector<RequestRecord> requests;
  /// Requests that are no longer needed.
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
