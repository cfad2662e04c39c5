/// Time constants of the control plane, with the rule that each follows from.
#pragma once

#include <chrono>

#include "core/balancer/timing.h"
#include "model/time.h"

namespace gorsevalve::control_timing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Pause between two AppendRequests of a leader to an idle follower.
constexpr Duration kAppendInterval = milliseconds(100);
/// A follower waits at least this long, and less than twice this long, without a leader before it
/// starts an election. It grants no vote within the minimum after it heard from a leader.
constexpr Duration kElectionTimeout = milliseconds(600);
/// For this long after its start a replica goes by signs that nobody holds a lease.
constexpr Duration kRestartWindow = seconds(3);
/// Clocks of two machines may run apart by this factor within a lease.
constexpr double kClockDrift = 0.05;
/// A leader acts as leader for this long after it sent something that a majority confirmed.
constexpr Duration kLeaderLease = Duration(
    static_cast<std::int64_t>(static_cast<double>(kElectionTimeout.count()) * (1 - kClockDrift)));

/// Pause between two heartbeats of a balancer, and between two reports of a follower to the leader.
constexpr Duration kHeartbeatInterval = milliseconds(1000);
/// A balancer that no replica heard of for this long is removed from the members.
constexpr Duration kMemberTimeout = milliseconds(3500);
/// Longest time for which a balancer may run once-only requests after a report that a
/// majority-backed leader confirmed.
constexpr Duration kBalancerLease = timing::kLease;
/// The membership changes of this time are put into one.
constexpr Duration kMembershipBatchWindow = milliseconds(200);
/// A planned membership change waits at most this long for the one before it to settle.
constexpr Duration kHandoverTimeout = seconds(10);

static_assert(kLeaderLease < kElectionTimeout);
// A new owner may lack records only until leases of lost owners have ended, whichever replica
// confirmed them last.
static_assert(kBalancerLease + kLeaderLease + kMemberTimeout < timing::kIncompleteTakeover);

}  // namespace gorsevalve::control_timing
