/// Decides where each packet of a caller goes when both ends of a flow reflect a token: the first
/// packet of a flow chooses a target and writes its token, every later one carries it. No balancer
/// holds state that an open flow needs. A state machine without sockets or clocks.
#pragma once

#include <deque>
#include <string>
#include <utility>

#include "core/steering/caller_packet.h"
#include "core/steering/flow_table.h"
#include "core/steering/steering_policy.h"
#include "core/steering/steering_view.h"
#include "core/steering/target_scores.h"

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
  kCopy = 2,
  kPlacedAgain = 3,
  kNoState = 4,
  kNoFrontend = 5,
  kFrontendDropped = 6,
  kNoTarget = 7,
  kNoToken = 8,
  kUnknownToken = 9,
  kForeignToken = 10,
  kTargetReplaced = 11,
};
constexpr std::size_t kSteeringReasons = 12;

/// Name of a reason in logs and metrics.
std::string_view to_string(SteeringReason reason);

struct SteeringDecision {
  SteeringAction action = SteeringAction::kDrop;
  SteeringReason reason = SteeringReason::kNoState;
  /// Set when the packet is forwarded; valid until the next `adopt` or `apply`.
  const RegisteredTarget* target = nullptr;
};

/// Deliberate faults, for the test that shows that the checkers can fail. All off in programs.
struct SteeringFaults {
  bool ignore_token = false;
  bool accept_foreign_tokens = false;
};

class FlowSteering {
 public:
  /// `seed` makes balancers break ties differently; targets in `zone` are near.
  explicit FlowSteering(std::uint64_t seed, std::string zone = {},
                        const SteeringPolicy& policy = {})
      : seed_(seed), policy_(policy), scores_(std::move(zone), policy) {}

  /// Takes a newer state. Never called with an older one.
  void adopt(const SteeringState& state, Instant now);
  /// Takes a change of the state in force.
  void apply(const SteeringDelta& delta, Instant now);

  SteeringDecision on_packet(const CallerPacket& packet, Instant now);
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
  void check_expectations(Instant now);

  /// For the exchange with other balancers.
  [[nodiscard]] std::vector<TargetObservation> take_observations() {
    return scores_.take_observations();
  }
  /// True when a target showed trouble since the last call of `take_observations`.
  [[nodiscard]] bool has_trouble() const { return scores_.has_trouble(); }
  void set_figures(const std::vector<TargetFigure>& figures) { scores_.set_figures(figures); }

  /// True once settings are in force.
  [[nodiscard]] bool has_settings() const { return view_.version() > 0; }
  [[nodiscard]] std::size_t flows() const { return flows_.size(); }
  [[nodiscard]] const TargetScores& scores() const { return scores_; }
  void set_faults(const SteeringFaults& faults) { faults_ = faults; }

 private:
  [[nodiscard]] SteeringDecision follow_unconfirmed(const CallerPacket& packet, Instant now);
  SteeringDecision open(const FrontendView& frontend, const CallerPacket& packet, Instant now);
  SteeringDecision follow(const FrontendView& frontend, const CallerPacket& packet, Instant now);
  const RegisteredTarget* place(const FrontendView& frontend, const CallerPacket& packet,
                                TargetId avoided, Instant now);
  /// The pool whose turn it is by weight (smooth weighted round robin).
  std::uint32_t next_pool(const FrontendView& frontend);
  const RegisteredTarget* best_of(std::uint32_t pool, const CallerPacket& packet, TargetId avoided,
                                  Instant now) const;
  [[nodiscard]] double typical_answer_us(std::uint32_t pool, Instant now) const;
  void note(const CallerPacket& packet, TargetId target, Instant now);
  void note_request(FlowEntry& entry, const CallerPacket& packet, Instant now);
  void check_openings(Instant now);
  void check_requests(Instant now);
  void end_request(FlowEntry& entry);
  void remove_load(const FlowEntry& entry);

  std::uint64_t seed_;
  SteeringPolicy policy_;
  bool is_confirmed_ = false;
  /// What happened before tells nothing of targets.
  Instant observes_from_;
  SteeringView view_;
  FlowTable flows_;
  /// Something that went to a target and should be followed by something here.
  struct Expectation {
    SteeredFlow flow;
    TargetId target = 0;
    Instant at;
  };
  /// Flows that were placed, and requests that began lately, in order.
  std::deque<Expectation> openings_;
  std::deque<Expectation> requests_;
  TargetScores scores_;
  SteeringFaults faults_;
  /// Credit of each share of a frontend for the weighted round robin.
  absl::flat_hash_map<Endpoint, std::vector<std::int64_t>> credits_;
};

}  // namespace gorsevalve
