/// Catalogue of all events in the log: one line each in docs/LOGS.md, which a test compares.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace gorsevalve {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// What goes first when lines must be dropped.
enum class LogClass : std::uint8_t {
  /// About single flows or packets: many, dropped first.
  kRoutine = 0,
  /// What the process believes or promised: kept as long as anything is.
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

/// In the order of the enumeration.
constexpr std::array<LogEventInfo, static_cast<std::size_t>(LogEvent::kLogLinesDropped) + 1>
    kLogEvents = {{
        {LogEvent::kStarting, "starting", LogLevel::kInfo, LogClass::kState,
         "The process runs; its state is being read."},
        {LogEvent::kStarted, "started", LogLevel::kInfo, LogClass::kState,
         "The process listens at all its addresses."},
        {LogEvent::kStopping, "stopping", LogLevel::kInfo, LogClass::kState,
         "A planned stop began: not ready any more, leadership handed over."},
        {LogEvent::kStopped, "stopped", LogLevel::kInfo, LogClass::kState,
         "The planned stop is done; the process ends."},
        {LogEvent::kLeaving, "leaving", LogLevel::kInfo, LogClass::kState,
         "The balancer asked to leave the members."},
        {LogEvent::kReady, "ready", LogLevel::kInfo, LogClass::kState,
         "The newest state is in force and confirmed: routers may send packets."},
        {LogEvent::kNotReady, "not_ready", LogLevel::kInfo, LogClass::kState,
         "Routers are told to turn away."},
        {LogEvent::kSettingsReloaded, "settings_reloaded", LogLevel::kInfo, LogClass::kState,
         "The process's own settings file changed and is in force."},
        {LogEvent::kSettingsRefused, "settings_refused", LogLevel::kError, LogClass::kState,
         "The changed settings file is invalid; the former one stays in force."},
        {LogEvent::kFlowDecision, "flow_decision", LogLevel::kInfo, LogClass::kRoutine,
         "A flow was placed, placed again, refused or not understood, and why."},
        {LogEvent::kRevisionInForce, "revision_in_force", LogLevel::kInfo, LogClass::kState,
         "The balancer decides by this revision from now on; about open flows only, until one is "
         "confirmed."},
        {LogEvent::kRevisionConfirmed, "revision_confirmed", LogLevel::kInfo, LogClass::kState,
         "A replica that follows a living leader holds no newer revision: the starting balancer "
         "places flows."},
        {LogEvent::kZoneEvacuated, "zone_evacuated", LogLevel::kInfo, LogClass::kState,
         "The balancer places no new flow in the zone from now on; the order's revision is named."},
        {LogEvent::kZoneRestored, "zone_restored", LogLevel::kInfo, LogClass::kState,
         "The balancer places new flows in the zone again, as of the named revision."},
        {LogEvent::kFleetNotKept, "fleet_not_kept", LogLevel::kWarning, LogClass::kState,
         "The copy of the state for the next start could not be written."},
        {LogEvent::kExpelledAndRejoining, "expelled_and_rejoining", LogLevel::kWarning,
         LogClass::kState, "The balancer was removed from the members while it ran."},
        {LogEvent::kReplicaChosen, "replica_chosen", LogLevel::kInfo, LogClass::kState,
         "The balancer follows this replica from now on; the revision that it claimed is named."},
        {LogEvent::kReplicaSilent, "replica_silent", LogLevel::kWarning, LogClass::kState,
         "The replica does not answer; the next one is asked."},
        {LogEvent::kRevisionsBehind, "revisions_behind", LogLevel::kWarning, LogClass::kState,
         "Updates of the replica have not come for long; all replicas are asked."},
        {LogEvent::kUpdateRefused, "update_refused", LogLevel::kWarning, LogClass::kState,
         "An update does not follow the revision in force; what is missing is asked for."},
        {LogEvent::kStateUnconfirmed, "state_unconfirmed", LogLevel::kWarning, LogClass::kState,
         "No current replica confirmed the state in force for this long: it may be older than what "
         "operators were told."},
        {LogEvent::kStateConfirmedAgain, "state_confirmed_again", LogLevel::kInfo, LogClass::kState,
         "A current replica confirmed the state in force again."},
        {LogEvent::kUpdateRepeated, "update_repeated", LogLevel::kInfo, LogClass::kState,
         "A balancer did not confirm what was sent to it: it is sent again."},
        {LogEvent::kConnectionGivenUp, "connection_given_up", LogLevel::kInfo, LogClass::kState,
         "Frames went over the connection, and nothing came back for long: it was closed."},
        {LogEvent::kFramesDropped, "frames_dropped", LogLevel::kWarning, LogClass::kState,
         "Messages to a peer were dropped: there is no connection, or too much waits on it."},
        {LogEvent::kBecameLeader, "became_leader", LogLevel::kInfo, LogClass::kState,
         "This replica won an election."},
        {LogEvent::kLostLeadership, "lost_leadership", LogLevel::kInfo, LogClass::kState,
         "This replica leads no more."},
        {LogEvent::kLeaderHeard, "leader_heard", LogLevel::kInfo, LogClass::kState,
         "This replica follows a leader that lives."},
        {LogEvent::kLeaderSilent, "leader_silent", LogLevel::kWarning, LogClass::kState,
         "The leader was not heard for an election timeout."},
        {LogEvent::kReplicaSet, "replica_set", LogLevel::kInfo, LogClass::kState,
         "The voters and learners changed: a replica was wiped, replaced, taken in or removed."},
        {LogEvent::kTargetsTroubled, "targets_troubled", LogLevel::kInfo, LogClass::kState,
         "Balancers saw these targets, and no others, refuse flows or leave packets unanswered; "
         "they "
         "get new flows only where there is nothing better."},
        {LogEvent::kTargetsRefusing, "targets_refusing", LogLevel::kInfo, LogClass::kState,
         "Targets have just refused probes of balancers in `zone`: those in this zone, and those "
         "in "
         "the targets' own, place new flows elsewhere for half a second."},
        {LogEvent::kTargetUnreachable, "target_unreachable", LogLevel::kWarning, LogClass::kState,
         "Probes of the target came to nothing while another target answered: its open flows were "
         "reset."},
        {LogEvent::kTargetReachable, "target_reachable", LogLevel::kInfo, LogClass::kState,
         "A target that was unreachable from here answers again."},
        {LogEvent::kLinkBusy, "link_busy", LogLevel::kInfo, LogClass::kRoutine,
         "Packets wait for the machine's own link: how many, how long the last one waited, what "
         "the link carries, and what was spared or dropped since the start."},
        {LogEvent::kWarmUpBegan, "warm_up_began", LogLevel::kInfo, LogClass::kState,
         "Targets turned cold: they take few new flows until they are warm, from all balancers "
         "together; `balancers` share them by turns, 0 while this one knows no place."},
        {LogEvent::kWarmUpEnded, "warm_up_ended", LogLevel::kInfo, LogClass::kState,
         "Targets are warm; `flows` were placed there from here while they were cold."},
        {LogEvent::kZonePathCut, "zone_path_cut", LogLevel::kWarning, LogClass::kState,
         "All probed targets of the zone were silent while the own zone "
         "answered: idle open flows "
         "into it were reset, new ones go elsewhere."},
        {LogEvent::kZonePathRestored, "zone_path_restored", LogLevel::kInfo, LogClass::kState,
         "Several targets of a zone that was cut off answer again; new flows "
         "return over two "
         "seconds."},
        {LogEvent::kAcceptingPaused, "accepting_paused", LogLevel::kWarning, LogClass::kState,
         "A listener holds as many connections as it may, or there is no descriptor left; others "
         "wait until one closes."},
        {LogEvent::kLoopStalled, "loop_stalled", LogLevel::kWarning, LogClass::kState,
         "Nothing ran for this long: a slow disk, a frozen machine, or too much work."},
        {LogEvent::kClusterFounded, "cluster_founded", LogLevel::kInfo, LogClass::kState,
         "This replica is one of the first of a new cluster."},
        {LogEvent::kClusterNotFounded, "cluster_not_founded", LogLevel::kWarning, LogClass::kState,
         "The data folder holds a replica already, or cannot be written."},
        {LogEvent::kReplicaNotOpened, "replica_not_opened", LogLevel::kError, LogClass::kState,
         "The data folder cannot be used; it is tried again."},
        {LogEvent::kStorageRefuses, "storage_refuses", LogLevel::kError, LogClass::kState,
         "A write failed; nothing is acknowledged until one succeeds."},
        {LogEvent::kStorageAcceptsAgain, "storage_accepts_again", LogLevel::kInfo, LogClass::kState,
         "A write succeeded after one that failed."},
        {LogEvent::kStorageFailedStopping, "storage_failed_stopping", LogLevel::kError,
         LogClass::kState, "Durable state is damaged; the process ends."},
        {LogEvent::kSubmission, "submission", LogLevel::kInfo, LogClass::kState,
         "A settings file was submitted against a base revision."},
        {LogEvent::kSteeringSubmitted, "steering_submitted", LogLevel::kInfo, LogClass::kState,
         "A file with an operator version was submitted; the held version is named."},
        {LogEvent::kSteeringDecided, "steering_decided", LogLevel::kInfo, LogClass::kState,
         "What the operator was told: acknowledged, or unknown after a change of leaders."},
        {LogEvent::kSteeringRefused, "steering_refused", LogLevel::kWarning, LogClass::kState,
         "The submitted file is invalid; the field is named."},
        {LogEvent::kEvacuationOrdered, "evacuation_ordered", LogLevel::kInfo, LogClass::kState,
         "An operator ordered a zone to be evacuated or restored; held tells that it is already."},
        {LogEvent::kEvacuationDecided, "evacuation_decided", LogLevel::kInfo, LogClass::kState,
         "What the operator was told of an order, and which pools have no targets for new flows "
         "now."},
        {LogEvent::kEvacuationRefused, "evacuation_refused", LogLevel::kWarning, LogClass::kState,
         "The order names a zone that is not known; those that are known are named."},
        {LogEvent::kTargetAnnounced, "target_announced", LogLevel::kInfo, LogClass::kState,
         "A target said something new here; phase 0 is ready, 2 draining."},
        {LogEvent::kTargetRestarted, "target_restarted", LogLevel::kInfo, LogClass::kState,
         "A target began another life under its id; nothing that was known of the earlier one "
         "holds."},
        {LogEvent::kTargetEnded, "target_ended", LogLevel::kInfo, LogClass::kState,
         "A target said here that it ends."},
        {LogEvent::kRegistrationsDecided, "registrations_decided", LogLevel::kInfo,
         LogClass::kState, "What the targets of one entry were told."},
        {LogEvent::kForwardedUndecided, "forwarded_undecided", LogLevel::kWarning, LogClass::kState,
         "Calls of targets that went to the leader were not committed in time; the targets ask "
         "again."},
        {LogEvent::kAnnouncementRefused, "announcement_refused", LogLevel::kWarning,
         LogClass::kRoutine, "An announcement is invalid; the field is named."},
        {LogEvent::kLogLinesDropped, "log_lines_dropped", LogLevel::kWarning, LogClass::kState,
         "The reader of the log was too slow: so many lines of each class are missing."},
    }};

constexpr const LogEventInfo& info_of(LogEvent event) {
  return kLogEvents[static_cast<std::size_t>(event)];
}

}  // namespace gorsevalve
