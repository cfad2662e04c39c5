/// Time constants of the balancer core, with the rule that determines each.
#pragma once

#include <chrono>

#include "model/time.h"

namespace gorsevalve::timing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Timeout for the backup's acknowledgement of a non-idempotent request.
constexpr Duration kRecordTimeout = milliseconds(400);
/// Initial and maximum interval between retransmissions of an unacknowledged batch.
constexpr Duration kBatchRetry = milliseconds(60);
constexpr Duration kBatchRetryMaximum = seconds(1);

/// A process without ticks for this long was suspended, and its state may be outdated. It drops
/// datagrams during the recovery period, until it can receive updates from a control replica.
/// Clients retransmit them.
constexpr Duration kPauseLimit = seconds(2);
constexpr Duration kPauseRecovery = milliseconds(200);

/// Initial interval before an idempotent request without a response is resent to its target;
/// doubles each time.
constexpr Duration kResendInterval = milliseconds(500);
/// Interval between two TakeoverRequests, and the timeout of a source that does not reply.
constexpr Duration kTakeoverRetry = milliseconds(40);
constexpr Duration kTakeoverSourceTimeout = milliseconds(1000);
/// Maximum time for which a new owner waits for a lease before it requests the state.
constexpr Duration kLeaseWait = milliseconds(1000);
/// An owner whose successor does not request the state stops serving the partition after this time.
constexpr Duration kUnclaimedTimeout = seconds(5);
/// State prepared for a new owner is dropped this long after its last request.
constexpr Duration kOutgoingLifetime = seconds(60);

/// Maximum time over which a client retransmits one request (RFC 7252 section 4.8.2,
/// MAX_TRANSMIT_SPAN).
constexpr Duration kMaxTransmitSpan = seconds(45);
/// Time during which a message id identifies one request (RFC 7252 section 4.8.2,
/// EXCHANGE_LIFETIME).
constexpr Duration kExchangeLifetime = seconds(247);
/// Maximum lease of a balancer; asserted in core/control/timing.h.
constexpr Duration kLease = seconds(10);
/// After a takeover that may lack records, non-idempotent requests are rejected for this long. By
/// then clients no longer retransmit requests that the failed owner dispatched, and its lease has
/// expired.
constexpr Duration kIncompleteTakeover = seconds(60);
static_assert(kIncompleteTakeover > kMaxTransmitSpan && kIncompleteTakeover > kLease);

/// Lifetime of verdicts on idempotent requests, during which late responses are dropped.
constexpr Duration kGivenUpLifetime = seconds(20);
/// Lifetime of an idle flow without observations and requests.
constexpr Duration kFlowIdle = seconds(300);
/// Lifetime of an idle observation.
constexpr Duration kObservationIdleTimeout = seconds(3600);
/// Lifetime of a backup copy that is no longer updated.
constexpr Duration kCopyLifetime = seconds(300);

}  // namespace gorsevalve::timing
