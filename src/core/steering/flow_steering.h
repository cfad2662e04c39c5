/// Decides where each packet of a caller goes when both ends of a flow reflect a token: the first
/// packet of a flow chooses a target and writes its token, every later one carries it. No balancer
/// holds state that an open flow needs. A state machine without sockets or clocks.
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
  /// Tell the caller at once that the flow does not exist here.
  kReset = 1,
  kDrop = 2,
};

/// Why a packet was not forwarded, or how its target was found.
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
  /// Set when the packet is forwarded; valid until the next `update_targets` or `apply`.
  const RegisteredTarget* target = nullptr;
};

/// Deliberate faults, for the test that shows that the checkers can fail. All off in programs.
struct SteeringFaults {
  bool ignore_token = false;
  bool accept_foreign_tokens = false;
  ReachabilityFaults reachability;
  /// Takes the whole budget of each cold target.
  bool take_whole_budget = false;
  ZonePathFaults zone_paths;
};

/// A connection to open, to see whether a target can be reached.
struct TargetProbe {
  std::uint64_t number = 0;
  Endpoint address;
};

class FlowSteering {
 public:
  /// `seed` makes balancers break ties differently; targets in `zone` are near.
  explicit FlowSteering(std::uint64_t seed, const std::string& zone = {},
                        const SteeringPolicy& policy = {})
      : policy_(policy),
        seed_(seed),
        zone_(zone),
        placement_(seed, policy),
        scores_(zone, policy),
        zone_paths_(zone) {}

  /// Takes a newer state. Never called with an older one.
  void adopt(const SteeringState& state, Instant now);
  /// Takes a change of the state in force.
  void apply(const SteeringDelta& delta, Instant now);

  SteeringDecision on_packet(const ClientPacket& packet, Instant now);
  /// nullptr when no settings name it.
  [[nodiscard]] const FrontendView* frontend(const Endpoint& address) const {
    return view_.frontend(address);
  }
  /// The state is the newest. Until then it may be what a replica knew before a loss of all: open
  /// flows go on by it, and everything else is kNoState.
  void confirm(Instant now);
  /// Packets of flows go elsewhere from now on: what does not come back here blames no target.
  void stop_observing();
  /// Forgets what has rested; to be called about once a second.
  void on_tick(Instant now);
  /// Notes openings and requests that were not followed by what should follow. Often and cheap.
  void check_reply_timeouts(Instant now);
  /// When `check_reply_timeouts` may next find an opening that nothing followed; nothing while none
  /// is awaited.
  [[nodiscard]] std::optional<Instant> next_reply_deadline() const;

  /// Tells whether this machine's own link is so busy that packets and answers may be late or lost
  /// on it (LinkModel::is_congested). What does not come back then blames no target. To be told
  /// before packets and steps of probes; a link that nobody tells of is free.
  void set_link_congested(bool is_congested, Instant now);

  /// For the exchange with other balancers.
  [[nodiscard]] std::vector<TargetObservation> take_observations() {
    return scores_.take_observations();
  }
  /// True when a target showed trouble since the last call of `take_observations`.
  [[nodiscard]] bool has_trouble() const { return scores_.has_failures(); }
  /// True when one refused a probe since then: others must know at once, while the rest may wait.
  /// Openings and requests without an answer are no news where queues are full.
  [[nodiscard]] bool has_refused_probe() const { return scores_.has_refused_probe(); }
  void set_target_health(const std::vector<TargetHealth>& figures, Instant now);
  /// Other balancers were refused by these targets just now.
  void on_refusing(const RefusingTargets& told, Instant now);

  /// This balancer's place among all of them; a count of 0 while it is not known.
  void set_balancer_rank(const BalancerRank& place, Instant now) { warm_up_.set_rank(place, now); }
  [[nodiscard]] const WarmUpBudget& warm_up() const { return warm_up_; }
  /// Targets that turned cold since the last call, in the order of their ids, and those that are
  /// warm now.
  [[nodiscard]] std::vector<TargetId> take_newly_cold();
  [[nodiscard]] std::vector<WarmedTarget> take_warmed(Instant now) {
    return warm_up_.take_warmed(now);
  }

  /// Probes of targets, to be sent now. What becomes of each is told by `on_probe_answer`, or by
  /// `on_probe_not_sent`; silence needs no telling.
  [[nodiscard]] std::vector<TargetProbe> take_probes(Instant now);
  void on_probe_answer(std::uint64_t number, ProbeAnswer answer, Instant now);
  void on_probe_not_sent(std::uint64_t number, Instant now);
  /// Targets that cannot be reached since now. Flows at them are reset with their next packet.
  [[nodiscard]] std::vector<UnreachableTarget> evaluate_reachability(Instant now);
  /// Targets that turned out to be reachable again, each told once.
  [[nodiscard]] std::vector<TargetId> take_restored() { return reachability_.take_restored(); }
  /// Ends the open flows at a target, so that their callers need not find out with a request.
  [[nodiscard]] std::vector<FlowReset> reset_flows_to(TargetId target);
  /// Paths to zones that are cut or back since the last call. To be called
  /// before `evaluate_reachability`: a zone is judged before its targets.
  /// `is_link_congested`: the own link is so busy that silence says nothing.
  [[nodiscard]] std::vector<ZonePathChange> evaluate_zone_paths(bool is_link_congested,
                                                                Instant now);
  /// Ends open flows into zones whose path is cut, so that their callers need not find out with a
  /// request. Flows with a request under way that runs at most once go on until it is answered: an
  /// answer may still come to those that got across, and nothing else serves their callers. To be
  /// called now and then while a path is cut.
  [[nodiscard]] std::vector<FlowReset> reset_flows_to_unreachable_zones(Instant now);
  [[nodiscard]] const ZonePaths& zone_paths() const { return zone_paths_; }
  /// True while probes are under way: take, conclude each `TargetReachability::kStepInterval`.
  [[nodiscard]] bool is_probing() const {
    return reachability_.is_probing() || zone_paths_.is_checking() || refusals_.is_probing();
  }
  [[nodiscard]] std::size_t unreachable_targets() const {
    return reachability_.unreachable_count();
  }

  /// True once settings are in force.
  [[nodiscard]] bool has_settings() const { return view_.version() > 0; }
  [[nodiscard]] std::size_t flows() const { return flows_.size(); }
  [[nodiscard]] const TargetScores& scores() const { return scores_; }
  [[nodiscard]] const PlacementCounters& placement_counters() const {
    return placement_.counters();
  }
  void set_faults(const SteeringFaults& faults) {
    faults_ = faults;
    reachability_.set_faults(faults.reachability);
    warm_up_.set_takes_all_turns(faults.take_whole_budget);
    zone_paths_.set_faults(faults.zone_paths);
  }

 private:
  /// Something that went to a target and should be followed by something here.
  struct PendingReply {
    SteeredFlow flow;
    TargetId target = 0;
    Instant sent_at;
    /// It was followed by what should follow, or nothing is to be learned from it any more.
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
  /// Bounds what a target takes while it is cold, where the operator set a rate.
  void update_warm_up(const RegisteredTarget& target, bool is_age_known, Instant now);
  /// Forgets what was seen of a target's earlier life. Its open flows are not reset here: some may
  /// have opened at the new life before this balancer heard of it, and the target itself refuses
  /// packets of the others.
  void forget_incarnation(TargetId target);
  /// Makes room for the times of the target's pool and zone.
  void add_time_estimates(const RegisteredTarget& target);
  void update_cold_rates();
  void observe_packet(const ClientPacket& packet, TargetId target, Instant now);
  /// The target answered an opening; `sent_at` is when its last packet went there.
  void on_opened(const FlowEntry& entry, Instant sent_at, Instant now);
  /// The target answered a request.
  void on_answer(TargetId target, Duration took, Instant now);
  void observe_request(FlowEntry& entry, const ClientPacket& packet, Instant now);
  /// Notes data that the caller sends again since its target did not acknowledge it.
  void observe_retransmission(FlowEntry& entry, const ClientPacket& packet, Instant now);
  /// True when the own link may have kept back what went to a target since then, or its answer.
  [[nodiscard]] bool may_be_local_congestion(Instant since) const {
    return is_link_congested_ || (congested_at_ && *congested_at_ >= since);
  }
  /// The caller is told that its flow has ended.
  void close_entry(const SteeredFlow& flow);
  void suspect_target(TargetId target, Instant now);
  /// The order of the flow table must not show in what is sent.
  static void sort_by_flow(std::vector<FlowReset>& resets);
  /// Looks at the target's zone, since what was sent to the target at `sent_at`
  /// is not answered.
  void suspect_zone(TargetId target, Instant sent_at, Instant now);
  /// Doubts the zones of targets that have left something unanswered for longer
  /// than usual.
  void check_zone_timeouts(Instant now);
  /// True when packets of this flow still go to a target beyond a path that is
  /// cut.
  [[nodiscard]] static bool has_non_idempotent_request(const FrontendView& frontend,
                                                       const FlowEntry& entry, Instant now);
  [[nodiscard]] bool should_reset_for_zone(const FrontendView& frontend, const ClientPacket& packet,
                                           TargetId target, Instant now);
  /// Notes that those others at the target's address that the condition names are gone.
  template <typename Condition>
  void mark_replaced(const RegisteredTarget& target, Condition is_gone);
  /// The flow of an opening that nothing but copies followed; nullptr for any other.
  [[nodiscard]] const FlowEntry* find_unanswered(const PendingReply& opening);
  /// When nothing but an answer would have kept an opening from being overdue.
  [[nodiscard]] Instant overdue_at(const PendingReply& opening) const;
  /// What answers of the target's pool tell of queues: where they are prompt, a target that refuses
  /// is not full, so nothing listens there.
  [[nodiscard]] LatencyLevel latency_level(const RegisteredTarget& target, Instant now) const;
  /// A target refused a probe, of this balancer or of one whose word counts here.
  void on_refusal(const RegisteredTarget& target, Instant now);
  /// Probes some targets of the own zone, now and then: where one has ended, others often have at
  /// the same moment, and each would else refuse callers until it is found out by itself.
  void probe_neighbors(Instant now);
  /// Into how many parts a zone's targets are divided for this, one for each balancer that looks.
  [[nodiscard]] std::uint64_t probe_partitions() const;
  /// Probes targets whose openings are overdue.
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
  /// What happened before tells nothing of targets.
  Instant observes_from_;
  /// Until then, how long answers take tells nothing of queues.
  Instant latency_valid_from_;
  SteeringView view_;
  FlowTable flows_;
  /// Flows that were placed, and requests that began lately, in order.
  std::deque<PendingReply> openings_;
  std::deque<PendingReply> requests_;
  bool is_link_congested_ = false;
  /// When the own link was known to be congested last.
  std::optional<Instant> congested_at_;
  TargetScores scores_;
  TargetReachability reachability_;
  HandshakeTimes handshake_times_;
  ResponseTimes response_times_;
  TargetRefusals refusals_;
  WarmUpBudget warm_up_;
  ZonePaths zone_paths_;
  std::vector<TargetId> newly_cold_;
  /// How many of `openings_` and `requests_`, from the front, `check_zone_timeouts` has seen.
  std::size_t zone_checked_openings_ = 0;
  std::size_t zone_checked_requests_ = 0;
  /// How many of `openings_`, from the front, `probe_overdue_openings` has seen.
  std::size_t overdue_checked_openings_ = 0;
  Instant next_zone_check_at_;
  /// No look around before this.
  Instant next_neighbor_probe_at_;
  /// When flows into zones that are cut off were ended last.
  Instant flows_reset_at_;
  SteeringFaults faults_;
};

}  // namespace gorsevalve
