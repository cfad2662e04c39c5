/// Time constants of the balancer core, with the rule that each follows from.
#pragma once

#include <chrono>

#include "model/time.h"

namespace gorsevalve::timing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long a once-only request may wait for the backup's confirmation.
constexpr Duration kRecordTimeout = milliseconds(400);
/// First and longest interval between two sends of an unconfirmed batch.
constexpr Duration kBatchRetry = milliseconds(60);
constexpr Duration kBatchRetryMaximum = seconds(1);

/// A process that missed its ticks for this long was stopped; what it knows may be outdated, so it
/// drops datagrams until it had the time to hear from a control replica. Callers send them again.
constexpr Duration kPauseLimit = seconds(2);
constexpr Duration kPauseRecovery = milliseconds(200);

/// First interval after which a repeatable request without an answer is sent to its target again;
/// it doubles each time.
constexpr Duration kResendInterval = milliseconds(500);
/// Interval between two TakeoverRequests, and how long a silent source is asked.
constexpr Duration kTakeoverRetry = milliseconds(40);
constexpr Duration kTakeoverSourceTimeout = milliseconds(1000);
/// A new owner without a lease leaves the state with the old one for this long at most.
constexpr Duration kLeaseWait = milliseconds(1000);
/// An owner whose successor does not ask for the state stops deciding after this time.
constexpr Duration kUnclaimedTimeout = seconds(5);
/// State frozen for a new owner is dropped this long after it last asked.
constexpr Duration kOutgoingLifetime = seconds(60);

/// Longest time over which a caller retransmits one request (RFC 7252 section 4.8.2,
/// MAX_TRANSMIT_SPAN).
constexpr Duration kMaxTransmitSpan = seconds(45);
/// Time for which a message id identifies one request (RFC 7252 section 4.8.2, EXCHANGE_LIFETIME).
constexpr Duration kExchangeLifetime = seconds(247);
/// Longest lease of a balancer (see core/control/timing.h, which asserts that it is kept).
constexpr Duration kLease = seconds(10);
/// After a takeover that may lack records, once-only requests are not run for this long: any copy
/// of a request that the lost owner ran has been sent by then, and its lease has ended.
constexpr Duration kIncompleteTakeover = seconds(60);
static_assert(kIncompleteTakeover > kMaxTransmitSpan && kIncompleteTakeover > kLease);

/// Verdicts on repeatable requests are remembered this long, to drop late answers.
constexpr Duration kGivenUpLifetime = seconds(20);
/// A flow without feeds and requests is forgotten after this time.
constexpr Duration kFlowIdle = seconds(300);
/// A feed that neither side used for this long is forgotten.
constexpr Duration kObservationIdleTimeout = seconds(3600);
/// A copy that is no longer updated is dropped after this time.
constexpr Duration kCopyLifetime = seconds(300);

}  // namespace gorsevalve::timing
