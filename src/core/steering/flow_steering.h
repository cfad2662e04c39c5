/// Decides where each client packet goes when both ends of a flow reflect a token: the first packet
/// selects a target and records its token, and every later packet carries it. No balancer holds
/// state that an open flow needs. Deterministic; does no I/O and reads no clock.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "core/steering/client_packet.h"
#include "core/steering/flow_placement.h"
#include "core/steering/flow_table.h"
#include "core/steering/handshake_times.h"
#include "core/steering/response_times.h"
#include "core/steering/steering_policy.h"
#include "core/steering/steering_view.h"
#include "core/steering/target_reachability.h"
#include "core/steering/target_refusals.h"
#include "core/steering/target_scores.h"
#include "core/steering/warm_up_budget.h"
#include "core/steering/zone_paths.h"

namespace gorsevalve {

enum class SteeringAction : std::uint8_t {
  kForward = 0,
  /// Reset the flow to the client immediately.
  kReset = 1,
  kDrop = 2,
};

/// Why a packet was not forwarded, or how its target was selected.
enum class SteeringReason : std::uint8_t {
  kToken = 0,
  kPlaced = 1,
  kRetransmission = 2,
  kPlacedAgain = 3,
  kNoState = 4,
  kNoFrontend = 5,
  kFrontendDropped = 6,
  kNoTarget = 7,
  kNoToken = 8,
  kUnknownToken = 9,
  kForeignToken = 10,
  kTargetReplaced = 11,
  kTargetUnreachable = 12,
};
constexpr std::size_t kSteeringReasons = 13;

/// Name of a reason in logs and metrics.
std::string_view to_string(SteeringReason reason);

struct SteeringDecision {
  SteeringAction action = SteeringAction::kDrop;
  SteeringReason reason = SteeringReason::kNoState;
  /// Set when the packet is forwarded; valid until the next `adopt` or `apply`.
  const RegisteredTarget* target = nullptr;
};

/// Injected faults that show that the checks detect failures. Tests only.
struct SteeringFaults {
  bool ignore_token = false;
  bool accept_foreign_tokens = false;
  ReachabilityFaults reachability;
  /// Uses every time slot of each target that is warming up.
  bool take_whole_budget = false;
  ZonePathFaults zone_paths;
};

/// A connection to open in order to test whether a target is reachable.
struct TargetProbe {
  std::uint64_t number = 0;
  Endpoint address;
};

class FlowSteering {
 public:
  /// `seed` makes balancers break ties differently. Targets in `zone` are local.
  explicit FlowSteering(std::uint64_t seed, const std::string& zone = {},
                        const SteeringPolicy& policy = {})
      : policy_(policy),
        seed_(seed),
        zone_(zone),
        placement_(seed, policy),
        scores_(zone, policy),
        zone_paths_(zone) {}

  /// Replaces the state with a newer snapshot. Never called with an older one.
  void adopt(const SteeringState& state, Instant now);
  /// Applies a delta to the current state.
  void apply(const SteeringDelta& delta, Instant now);

  SteeringDecision on_packet(const ClientPacket& packet, Instant now);
  /// Returns nullptr when no settings name the address.
  [[nodiscard]] const FrontendView* frontend(const Endpoint& address) const {
    return view_.frontend(address);
  }
  /// Marks the state as current. Until then it may be a replica's stored state from before a full
  /// outage: packets of open flows are forwarded by it, and all others get kNoState.
  void confirm(Instant now);
  /// Stops attributing missing replies to targets, because packets now go to other balancers.
  void stop_observing();
  /// Evicts idle flows. Call about once a second.
  void on_tick(Instant now);
  /// Detects new flows and requests without a reply in time. Cheap enough to call often.
  void check_reply_timeouts(Instant now);
  /// The time at which `check_reply_timeouts` may next find an unanswered opening packet; nullopt
  /// while none is pending.
  [[nodiscard]] std::optional<Instant> next_reply_deadline() const;

  /// Sets whether the local link is so congested that packets and replies may be delayed or lost
  /// (LinkModel::is_congested). Missing replies are then not attributed to targets. Call before
  /// packets and probe steps; the link counts as uncongested by default.
  void set_link_congested(bool is_congested, Instant now);

  /// Statistics to exchange with other balancers.
  [[nodiscard]] std::vector<TargetStatistics> take_observations() {
    return scores_.take_observations();
  }
  /// True when a target failed since the last call of `take_observations`.
  [[nodiscard]] bool has_failures() const { return scores_.has_failures(); }
  /// True when a target refused a probe since the last call of `take_observations`. Refusals are
  /// reported immediately; unanswered opening packets and requests can wait, since full queues
  /// cause them too.
  [[nodiscard]] bool has_refused_probe() const { return scores_.has_refused_probe(); }
  void set_target_health(const std::vector<TargetHealth>& health, Instant now);
  /// Handles targets that recently refused probes of other balancers.
  void on_refusing(const RefusingTargets& report, Instant now);

  /// Sets this balancer's rank among all balancers; a count of 0 means unknown.
  void set_balancer_rank(const BalancerRank& rank, Instant now) { warm_up_.set_rank(rank, now); }
  [[nodiscard]] const WarmUpBudget& warm_up() const { return warm_up_; }
  /// Targets that began to warm up since the last call, ordered by id; `take_warmed` returns those
  /// that have finished.
  [[nodiscard]] std::vector<TargetId> take_newly_cold();
  [[nodiscard]] std::vector<WarmedTarget> take_warmed(Instant now) {
    return warm_up_.take_warmed(now);
  }

  /// Probes to send now. Report each result with `on_probe_answer` or `on_probe_not_sent`; a
  /// timeout needs no report.
  [[nodiscard]] std::vector<TargetProbe> take_probes(Instant now);
  void on_probe_answer(std::uint64_t number, ProbeAnswer answer, Instant now);
  void on_probe_not_sent(std::uint64_t number, Instant now);
  /// Targets newly detected as unreachable. Their flows are reset on the next packet.
  [[nodiscard]] std::vector<UnreachableTarget> evaluate_reachability(Instant now);
  /// Targets that became reachable again since the last call.
  [[nodiscard]] std::vector<TargetId> take_restored() { return reachability_.take_restored(); }
  /// Closes the open flows at a target and returns the resets to send to their clients.
  [[nodiscard]] std::vector<FlowReset> reset_flows_to(TargetId target);
  /// Zone paths that became unreachable or recovered since the last call. Call before
  /// `evaluate_reachability`: zones are evaluated before their targets. While `is_link_congested`,
  /// silence is no evidence.
  [[nodiscard]] std::vector<ZonePathChange> evaluate_zone_paths(bool is_link_congested,
                                                                Instant now);
  /// Closes idle open flows to unreachable zones and returns the resets to send. A flow with a
  /// non-idempotent request in flight stays open, because a response may still arrive and the
  /// request cannot be repeated. Call regularly while a path is unreachable.
  [[nodiscard]] std::vector<FlowReset> reset_flows_to_unreachable_zones(Instant now);
  [[nodiscard]] const ZonePaths& zone_paths() const { return zone_paths_; }
  /// True while probes are in flight: call take_probes and the evaluate functions each
  /// `TargetReachability::kStepInterval`.
  [[nodiscard]] bool is_probing() const {
    return reachability_.is_probing() || zone_paths_.is_checking() || refusals_.is_probing();
  }
  [[nodiscard]] std::size_t unreachable_targets() const {
    return reachability_.unreachable_count();
  }

  /// True once settings are applied.
  [[nodiscard]] bool has_settings() const { return view_.version() > 0; }
  [[nodiscard]] std::size_t flows() const { return flows_.size(); }
  [[nodiscard]] const TargetScores& scores() const { return scores_; }
  [[nodiscard]] const PlacementCounters& placement_counters() const {
    return placement_.counters();
  }
  void set_faults(const SteeringFaults& faults) {
    faults_ = faults;
    reachability_.set_faults(faults.reachability);
    warm_up_.set_uses_all_slots(faults.take_whole_budget);
    zone_paths_.set_faults(faults.zone_paths);
  }

 private:
  /// A packet sent to a target for which a reply is expected.
  struct PendingReply {
    SteeredFlow flow;
    TargetId target = 0;
    Instant sent_at;
    /// The reply arrived, or the outcome no longer matters.
    bool is_resolved = false;
  };

  [[nodiscard]] SteeringDecision forward_unconfirmed(const ClientPacket& packet, Instant now);
  SteeringDecision place_flow(const FrontendView& frontend, const ClientPacket& packet,
                              Instant now);
  SteeringDecision forward_by_token(const FrontendView& frontend, const ClientPacket& packet,
                                    Instant now);
  [[nodiscard]] PlacementInputs inputs() {
    return {view_, scores_, reachability_, refusals_, warm_up_, zone_paths_};
  }
  /// Limits new flows to a target that is warming up, where the operator set a rate.
  void update_warm_up(const RegisteredTarget& target, bool is_age_known, Instant now);
  /// Removes statistics of a target's previous incarnation. Its open flows are not reset: some may
  /// already belong to the new incarnation, and the target itself rejects packets of the others.
  void remove_incarnation(TargetId target);
  /// Adds time estimates for the target's pool and zone.
  void add_time_estimates(const RegisteredTarget& target);
  void update_cold_rates();
  void observe_packet(const ClientPacket& packet, TargetId target, Instant now);
  /// Handles a reply to an opening packet; `sent_at` is when the last packet was sent to the
  /// target.
  void on_opened(const FlowEntry& entry, Instant sent_at, Instant now);
  /// Handles the response to a request.
  void on_response(TargetId target, Duration took, Instant now);
  void observe_request(FlowEntry& entry, const ClientPacket& packet, Instant now);
  /// Handles data that the client retransmits because the target did not acknowledge it.
  void observe_retransmission(FlowEntry& entry, const ClientPacket& packet, Instant now);
  /// True when local congestion may have delayed packets sent to a target since `since`, or their
  /// replies.
  [[nodiscard]] bool may_be_local_congestion(Instant since) const {
    return is_link_congested_ || (congested_at_ && *congested_at_ >= since);
  }
  /// Marks a flow as closing because its client receives a reset.
  void close_entry(const SteeredFlow& flow);
  void suspect_target(TargetId target, Instant now);
  /// Sorts resets to make output independent of the hash table order.
  static void sort_by_flow(std::vector<FlowReset>& resets);
  /// Starts a path check of the target's zone, because a packet sent to the target at `sent_at` is
  /// unanswered.
  void suspect_zone(TargetId target, Instant sent_at, Instant now);
  /// Suspects the zones of targets with replies past the reply timeout.
  void check_zone_timeouts(Instant now);
  /// True when the flow must stay open for a non-idempotent request in flight.
  [[nodiscard]] static bool has_non_idempotent_request(const FrontendView& frontend,
                                                       const FlowEntry& entry, Instant now);
  [[nodiscard]] bool should_reset_for_zone(const FrontendView& frontend, const ClientPacket& packet,
                                           TargetId target, Instant now);
  /// A target answered an opening packet that was sent to it at `sent_at`, so it holds its address.
  /// Targets that were registered there at that time are gone.
  void on_address_held(TargetId holder, Instant sent_at, Instant now);
  /// The flow of an opening packet without a reply; nullptr if it was answered or closed.
  [[nodiscard]] const FlowEntry* find_unanswered(const PendingReply& opening);
  /// When an opening packet exceeds the expected handshake time.
  [[nodiscard]] Instant overdue_at(const PendingReply& opening) const;
  /// Response latency of the target's pool. When it is low, a refusing target is not full, so
  /// nothing listens there.
  [[nodiscard]] LatencyLevel latency_level(const RegisteredTarget& target, Instant now) const;
  /// Handles a refusal seen by this balancer or by one whose reports count here.
  void on_refusal(const RegisteredTarget& target, Instant now);
  /// Probes some targets of the local zone, since targets of one zone often end together and each
  /// would otherwise refuse clients until it is detected.
  void probe_neighbors(Instant now);
  /// Number of partitions of a zone's targets; each balancer probes one partition.
  [[nodiscard]] std::uint64_t probe_partitions() const;
  /// Probes targets with opening packets past the expected handshake time.
  void probe_overdue_openings(Instant now);
  void check_opening_timeouts(Instant now);
  void check_request_timeouts(Instant now);
  void end_request(FlowEntry& entry);
  void remove_load(const FlowEntry& entry);

  SteeringPolicy policy_;
  std::uint64_t seed_;
  std::string zone_;
  FlowPlacement placement_;
  bool is_confirmed_ = false;
  /// Packets before this time are not used to assess targets.
  Instant observes_from_;
  /// Until this time, fast responses do not rule out queueing.
  Instant latency_valid_from_;
  SteeringView view_;
  FlowTable flows_;
  /// Recent opening packets and requests, oldest first.
  std::deque<PendingReply> openings_;
  std::deque<PendingReply> requests_;
  bool is_link_congested_ = false;
  /// When the local link was last congested.
  std::optional<Instant> congested_at_;
  TargetScores scores_;
  TargetReachability reachability_;
  HandshakeTimes handshake_times_;
  ResponseTimes response_times_;
  TargetRefusals refusals_;
  WarmUpBudget warm_up_;
  ZonePaths zone_paths_;
  std::vector<TargetId> newly_cold_;
  /// Number of entries at the front of `openings_` and `requests_` that `check_zone_timeouts` has
  /// checked.
  std::size_t zone_checked_openings_ = 0;
  std::size_t zone_checked_requests_ = 0;
  /// Number of entries at the front of `openings_` that `probe_overdue_openings` has checked.
  std::size_t overdue_checked_openings_ = 0;
  Instant next_zone_check_at_;
  /// Earliest time for the next probing of neighbors.
  Instant next_neighbor_probe_at_;
  /// When flows to unreachable zones were last reset.
  Instant flows_reset_at_;
  SteeringFaults faults_;
};

}  // namespace gorsevalve
