/// Time constants of the control plane and the constraints between them.
#pragma once

#include <chrono>

#include "core/balancer/timing.h"
#include "model/time.h"

namespace gorsevalve::control_timing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Interval between AppendRequests from a leader to an idle follower.
constexpr Duration kAppendInterval = milliseconds(100);
/// A follower waits between one and two times this long without leader contact before it starts an
/// election. It grants no vote within this time after leader contact.
constexpr Duration kElectionTimeout = milliseconds(600);
/// Time after startup in which a replica uses evidence that no lease is held to skip the election
/// timeout.
constexpr Duration kRestartWindow = seconds(3);
/// Maximum relative drift between the clocks of two machines.
constexpr double kClockDrift = 0.05;
/// Duration of the leader lease, from the send time of a message that a majority acknowledged.
constexpr Duration kLeaderLease = Duration(
    static_cast<std::int64_t>(static_cast<double>(kElectionTimeout.count()) * (1 - kClockDrift)));

/// Interval between heartbeats of a balancer, and between reports of a follower to the leader.
constexpr Duration kHeartbeatInterval = milliseconds(1000);
/// A balancer is removed from the members if no replica receives its heartbeat for this long.
constexpr Duration kMemberTimeout = milliseconds(3500);
/// Maximum time for which a balancer may dispatch non-idempotent requests after a report that was
/// acknowledged by a leader with a majority.
constexpr Duration kBalancerLease = timing::kLease;
/// Membership changes within this time are batched into one.
constexpr Duration kMembershipBatchWindow = milliseconds(200);
/// Maximum time that a planned membership change waits for the handovers of the previous one.
constexpr Duration kHandoverTimeout = seconds(10);

static_assert(kLeaderLease < kElectionTimeout);
// The records of a new owner may be incomplete only until the leases of the lost owners have
// expired, whichever replica confirmed them last.
static_assert(kBalancerLease + kLeaderLease + kMemberTimeout < timing::kIncompleteTakeover);

}  // namespace gorsevalve::control_timing
