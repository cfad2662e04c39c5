/// Catalogue of all log events. docs/LOGS.md lists the same events; a test compares them.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace gorsevalve {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// Determines which lines are dropped first.
enum class LogClass : std::uint8_t {
  /// About single flows or packets; frequent, dropped first.
  kRoutine = 0,
  /// About the state of the process; dropped only if no routine lines are queued.
  kState = 1,
};
constexpr std::size_t kLogClassCount = 2;

enum class LogEvent : std::uint8_t {
  kStarting,
  kStarted,
  kStopping,
  kStopped,
  kLeaving,
  kReady,
  kNotReady,
  kSettingsReloaded,
  kSettingsRefused,
  kFlowDecision,
  kRevisionInForce,
  kRevisionConfirmed,
  kZoneEvacuated,
  kZoneRestored,
  kFleetNotKept,
  kExpelledAndRejoining,
  kReplicaChosen,
  kReplicaSilent,
  kRevisionsBehind,
  kUpdateRefused,
  kStateUnconfirmed,
  kStateConfirmedAgain,
  kUpdateRepeated,
  kConnectionGivenUp,
  kFramesDropped,
  kBecameLeader,
  kLostLeadership,
  kLeaderHeard,
  kLeaderSilent,
  kReplicaSet,
  kTargetsTroubled,
  kTargetsRefusing,
  kTargetUnreachable,
  kTargetReachable,
  kLinkBusy,
  kWarmUpBegan,
  kWarmUpEnded,
  kZonePathCut,
  kZonePathRestored,
  kAcceptingPaused,
  kLoopStalled,
  kClusterFounded,
  kClusterNotFounded,
  kReplicaNotOpened,
  kStorageRefuses,
  kStorageAcceptsAgain,
  kStorageFailedStopping,
  kSubmission,
  kSteeringSubmitted,
  kSteeringDecided,
  kSteeringRefused,
  kEvacuationOrdered,
  kEvacuationDecided,
  kEvacuationRefused,
  kTargetAnnounced,
  kTargetRestarted,
  kTargetEnded,
  kTargetReplaced,
  kRegistrationsDecided,
  kForwardedUndecided,
  kAnnouncementRefused,
  kLogLinesDropped,
};

struct LogEventInfo {
  LogEvent event;
  std::string_view name;
  LogLevel level;
  LogClass log_class;
  std::string_view meaning;
};

/// Indexed by LogEvent.
constexpr std::array<LogEventInfo, static_cast<std::size_t>(LogEvent::kLogLinesDropped) + 1>
    kLogEvents = {{
        {LogEvent::kStarting, "starting", LogLevel::kInfo, LogClass::kState,
         "The process has started and reads its state."},
        {LogEvent::kStarted, "started", LogLevel::kInfo, LogClass::kState,
         "The process listens at all its addresses."},
        {LogEvent::kStopping, "stopping", LogLevel::kInfo, LogClass::kState,
         "A graceful shutdown started: the process is not ready, and leadership is transferred."},
        {LogEvent::kStopped, "stopped", LogLevel::kInfo, LogClass::kState,
         "The graceful shutdown is complete; the process exits."},
        {LogEvent::kLeaving, "leaving", LogLevel::kInfo, LogClass::kState,
         "The balancer requested its removal from the members."},
        {LogEvent::kReady, "ready", LogLevel::kInfo, LogClass::kState,
         "The newest state is applied and confirmed: routers may send packets."},
        {LogEvent::kNotReady, "not_ready", LogLevel::kInfo, LogClass::kState,
         "The process reports not ready: routers must not send packets."},
        {LogEvent::kSettingsReloaded, "settings_reloaded", LogLevel::kInfo, LogClass::kState,
         "The settings file of the process changed and was applied."},
        {LogEvent::kSettingsRefused, "settings_refused", LogLevel::kError, LogClass::kState,
         "The changed settings file is invalid; the previous settings stay applied."},
        {LogEvent::kFlowDecision, "flow_decision", LogLevel::kInfo, LogClass::kRoutine,
         "A flow was placed, placed again, rejected or not recognized, with the reason."},
        {LogEvent::kRevisionInForce, "revision_in_force", LogLevel::kInfo, LogClass::kState,
         "The balancer applied this revision. Until the first revision is confirmed, it only "
         "forwards packets of open flows."},
        {LogEvent::kRevisionConfirmed, "revision_confirmed", LogLevel::kInfo, LogClass::kState,
         "A replica in contact with a live leader confirmed that there is no newer revision: the "
         "starting balancer now places flows."},
        {LogEvent::kZoneEvacuated, "zone_evacuated", LogLevel::kInfo, LogClass::kState,
         "The balancer places no new flows in the zone from now on; `revision` is that of the "
         "command."},
        {LogEvent::kZoneRestored, "zone_restored", LogLevel::kInfo, LogClass::kState,
         "The balancer places new flows in the zone again, as of `revision`."},
        {LogEvent::kFleetNotKept, "fleet_not_kept", LogLevel::kWarning, LogClass::kState,
         "The state could not be stored for the next start."},
        {LogEvent::kExpelledAndRejoining, "expelled_and_rejoining", LogLevel::kWarning,
         LogClass::kState,
         "The balancer was removed from the members while running; it joins again."},
        {LogEvent::kReplicaChosen, "replica_chosen", LogLevel::kInfo, LogClass::kState,
         "The balancer subscribed to this replica; `held` is the revision that the replica "
         "reported."},
        {LogEvent::kReplicaSilent, "replica_silent", LogLevel::kWarning, LogClass::kState,
         "The replica did not reply in time; the next one is tried."},
        {LogEvent::kRevisionsBehind, "revisions_behind", LogLevel::kWarning, LogClass::kState,
         "Updates from the replica are overdue; all replicas are queried."},
        {LogEvent::kUpdateRefused, "update_refused", LogLevel::kWarning, LogClass::kState,
         "An update is not based on the applied revision; the missing updates are requested."},
        {LogEvent::kStateUnconfirmed, "state_unconfirmed", LogLevel::kWarning, LogClass::kState,
         "No current replica has confirmed the applied state for this long: it may be older than "
         "state that was acknowledged to operators."},
        {LogEvent::kStateConfirmedAgain, "state_confirmed_again", LogLevel::kInfo, LogClass::kState,
         "A current replica confirmed the applied state again."},
        {LogEvent::kUpdateRepeated, "update_repeated", LogLevel::kInfo, LogClass::kState,
         "A balancer did not acknowledge an update in time; it is retransmitted."},
        {LogEvent::kConnectionGivenUp, "connection_given_up", LogLevel::kInfo, LogClass::kState,
         "Frames were sent and nothing was received within the timeout: the connection was "
         "closed."},
        {LogEvent::kFramesDropped, "frames_dropped", LogLevel::kWarning, LogClass::kState,
         "Messages to a peer were dropped: there is no connection, or its queue is full."},
        {LogEvent::kBecameLeader, "became_leader", LogLevel::kInfo, LogClass::kState,
         "This replica won an election."},
        {LogEvent::kLostLeadership, "lost_leadership", LogLevel::kInfo, LogClass::kState,
         "This replica is no longer the leader."},
        {LogEvent::kLeaderHeard, "leader_heard", LogLevel::kInfo, LogClass::kState,
         "This replica is in contact with a live leader."},
        {LogEvent::kLeaderSilent, "leader_silent", LogLevel::kWarning, LogClass::kState,
         "Nothing was received from the leader for an election timeout."},
        {LogEvent::kReplicaSet, "replica_set", LogLevel::kInfo, LogClass::kState,
         "The voters and learners changed: a replica was wiped, replaced, admitted or removed."},
        {LogEvent::kTargetsTroubled, "targets_troubled", LogLevel::kInfo, LogClass::kState,
         "Balancers reported that exactly these targets refuse flows or leave packets unanswered; "
         "they get new flows only if there is no better target."},
        {LogEvent::kTargetsRefusing, "targets_refusing", LogLevel::kInfo, LogClass::kState,
         "Targets recently refused probes of balancers in `zone`. Balancers in this zone and in "
         "the targets' zones place new flows elsewhere for half a second."},
        {LogEvent::kTargetUnreachable, "target_unreachable", LogLevel::kWarning, LogClass::kState,
         "Probes of the target failed while another target replied: its open flows were reset."},
        {LogEvent::kTargetReachable, "target_reachable", LogLevel::kInfo, LogClass::kState,
         "A target that was unreachable from this balancer replies again."},
        {LogEvent::kLinkBusy, "link_busy", LogLevel::kInfo, LogClass::kRoutine,
         "Packets are queued for the machine's link: queue length, delay of the last packet, "
         "utilization, and retransmissions suppressed and packets dropped since the start."},
        {LogEvent::kWarmUpBegan, "warm_up_began", LogLevel::kInfo, LogClass::kState,
         "Targets started to warm up: all balancers together place few new flows there. "
         "`balancers` is the number of balancers that share the time slots; 0 while the rank of "
         "this balancer is unknown."},
        {LogEvent::kWarmUpEnded, "warm_up_ended", LogLevel::kInfo, LogClass::kState,
         "Targets are warm; `flows` is the number of flows that this balancer placed there during "
         "the warm-up."},
        {LogEvent::kZonePathCut, "zone_path_cut", LogLevel::kWarning, LogClass::kState,
         "No probed target of the zone replied while the local zone did: idle open flows into it "
         "were reset, and new flows are placed elsewhere."},
        {LogEvent::kZonePathRestored, "zone_path_restored", LogLevel::kInfo, LogClass::kState,
         "Several targets of an unreachable zone reply again; new flows return over two seconds."},
        {LogEvent::kAcceptingPaused, "accepting_paused", LogLevel::kWarning, LogClass::kState,
         "A listener reached its connection limit, or the process has no file descriptor left; "
         "pending connections wait until one closes."},
        {LogEvent::kLoopStalled, "loop_stalled", LogLevel::kWarning, LogClass::kState,
         "The event loop was blocked for this long: a slow disk, a paused machine, or too much "
         "work."},
        {LogEvent::kClusterFounded, "cluster_founded", LogLevel::kInfo, LogClass::kState,
         "This replica was initialized as one of the first replicas of a new cluster."},
        {LogEvent::kClusterNotFounded, "cluster_not_founded", LogLevel::kWarning, LogClass::kState,
         "The data directory already holds a replica, or is not writable."},
        {LogEvent::kReplicaNotOpened, "replica_not_opened", LogLevel::kError, LogClass::kState,
         "The data directory cannot be used; opening it is retried."},
        {LogEvent::kStorageRefuses, "storage_refuses", LogLevel::kError, LogClass::kState,
         "A write failed; nothing is acknowledged until a write succeeds."},
        {LogEvent::kStorageAcceptsAgain, "storage_accepts_again", LogLevel::kInfo, LogClass::kState,
         "A write succeeded after a failed one."},
        {LogEvent::kStorageFailedStopping, "storage_failed_stopping", LogLevel::kError,
         LogClass::kState, "The durable state is damaged; the process exits."},
        {LogEvent::kSubmission, "submission", LogLevel::kInfo, LogClass::kState,
         "A settings file was submitted for a base revision."},
        {LogEvent::kSteeringSubmitted, "steering_submitted", LogLevel::kInfo, LogClass::kState,
         "A steering file with an operator version was submitted; `held_version` is the committed "
         "version."},
        {LogEvent::kSteeringDecided, "steering_decided", LogLevel::kInfo, LogClass::kState,
         "Outcome reported to the operator: acknowledged, or unknown after a leader change."},
        {LogEvent::kSteeringRefused, "steering_refused", LogLevel::kWarning, LogClass::kState,
         "The submitted file is invalid; the field is named."},
        {LogEvent::kEvacuationOrdered, "evacuation_ordered", LogLevel::kInfo, LogClass::kState,
         "An operator requested the evacuation or restoration of a zone; `held` is true if the "
         "committed state already includes it."},
        {LogEvent::kEvacuationDecided, "evacuation_decided", LogLevel::kInfo, LogClass::kState,
         "Outcome of an evacuation command reported to the operator, and the pools without targets "
         "for new flows."},
        {LogEvent::kEvacuationRefused, "evacuation_refused", LogLevel::kWarning, LogClass::kState,
         "The command names an unknown zone; the known zones are listed."},
        {LogEvent::kTargetAnnounced, "target_announced", LogLevel::kInfo, LogClass::kState,
         "This replica received a changed announcement of a target; phase 0 is ready, 2 draining."},
        {LogEvent::kTargetRestarted, "target_restarted", LogLevel::kInfo, LogClass::kState,
         "A target announced a new incarnation under its id; the state of the previous one is "
         "discarded."},
        {LogEvent::kTargetEnded, "target_ended", LogLevel::kInfo, LogClass::kState,
         "This replica received the end of a target."},
        {LogEvent::kTargetReplaced, "target_replaced", LogLevel::kInfo, LogClass::kState,
         "The leader found that another target holds the address of this one: only the other one "
         "is "
         "heard."},
        {LogEvent::kRegistrationsDecided, "registrations_decided", LogLevel::kInfo,
         LogClass::kState,
         "Outcome reported to the targets whose registrations share a log entry."},
        {LogEvent::kForwardedUndecided, "forwarded_undecided", LogLevel::kWarning, LogClass::kState,
         "Requests of targets that were forwarded to the leader were not committed in time; the "
         "targets retry."},
        {LogEvent::kAnnouncementRefused, "announcement_refused", LogLevel::kWarning,
         LogClass::kRoutine, "An announcement is invalid; the field is named."},
        {LogEvent::kLogLinesDropped, "log_lines_dropped", LogLevel::kWarning, LogClass::kState,
         "The reader of the log was too slow: this many lines of each class were dropped."},
    }};

constexpr const LogEventInfo& info_of(LogEvent event) {
  return kLogEvents[static_cast<std::size_t>(event)];
}

}  // namespace gorsevalve
