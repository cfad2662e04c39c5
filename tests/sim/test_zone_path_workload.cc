/// Seeded workload over balancers and targets in three zones whose paths are cut (silently, with
/// refusals, in one direction, two at once, or while a zone is evacuated), and over conditions that
/// resemble a cut: slow and busy zones, a failed rack, paused balancers, congested local links, and
/// 10% packet loss.
///
/// Checks that no balancer reports an open path as cut or resets a flow of a reachable target, that
/// a cut and its recovery are detected in bounded time, that new flows avoid cut paths, and that
/// non-idempotent requests in flight are not interrupted.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

#include "core/steering/flow_steering.h"
#include "fault_detection.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kStep = milliseconds(5);
constexpr Endpoint kRepeatable{0xC6120001, 443};
constexpr Endpoint kNonIdempotentFrontend{0xC6120001, 8080};
constexpr std::size_t kZones = 3;
constexpr TargetId kTargetsOfZone = 6;
constexpr std::uint32_t kFlowsOfZone = 40;
/// Limit for the detection of a cut: 60 ms until a request is sent, 100 ms until its reply is
/// overdue, 110 ms of probes, and delays by packet loss and by the backoff after an answered check.
constexpr Duration kMaxDetectionTime = milliseconds(1000);
/// Limit for the detection of a recovery: two recovery rounds and a tick.
constexpr Duration kMaxRecoveryTime = milliseconds(1200);
constexpr Duration kTick = milliseconds(250);

enum class Scenario {
  kNone,
  kSilentCut,
  kRefusingCut,
  kOneWayCut,
  kTwoCuts,
  kEvacuatedAndCut,
  kSlowZone,
  kBusyZone,
  kDarkRack,
  kFrozenBalancer,
  kFullLink,
  kLoss,
};
constexpr int kScenarios = 12;

struct ClientFlow {
  SteeredFlow flow;
  TargetId target = 0;
  std::size_t balancer = 0;
  std::uint32_t sequence = 1;
  std::uint32_t acknowledged = 1;
  std::optional<Instant> sent_at;
  std::optional<Instant> repeat_at;
  std::optional<Instant> answer_at;
  Instant next_request;
};

std::string zone_name(std::size_t zone) { return std::string(1, static_cast<char>('a' + zone)); }
std::size_t zone_of(TargetId id) { return (id - 1) / kTargetsOfZone; }
FlowToken token(TargetId id) { return static_cast<FlowToken>(100 + id); }

class ZoneWorkload {
 public:
  ZoneWorkload(std::uint64_t seed, const SteeringFaults& faults)
      : random_(seed),
        scenario_(static_cast<Scenario>(seed % kScenarios)),
        zone_(random_() % kZones) {
    SteeringState state = make_state();
    if (scenario_ == Scenario::kEvacuatedAndCut) {
      state.evacuated_zones.push_back({zone_name((zone_ + 1) % kZones), 1});
    }
    // Reserved to avoid reallocation: a copied balancer would refer to the state of the original.
    balancers_.reserve(kZones);
    for (std::size_t i = 0; i < kZones; ++i) {
      balancers_.emplace_back(seed + i, zone_name(i));
      balancers_.back().adopt(state, now_);
      balancers_.back().confirm(now_);
      balancers_.back().set_faults(faults);
    }
    for (std::uint32_t i = 0; i < kFlowsOfZone * kZones; ++i) {
      ClientFlow flow;
      flow.balancer = i % kZones;
      flow.flow = {{0x64400000 + i, 4000}, i % 2 == 0 ? kRepeatable : kNonIdempotentFrontend};
      flow.target = 1 + random_() % (kTargetsOfZone * kZones);
      flow.next_request = now_ + milliseconds(random_() % 300);
      flows_.push_back(flow);
    }
  }

  /// Runs the workload and returns the first violation, or an empty string.
  std::string run() {
    while (now_ < kStart + seconds(14) && violation_.empty()) {
      now_ += kStep;
      for (auto& flow : flows_) {
        step_client(flow);
      }
      for (std::size_t i = 0; i < kZones; ++i) {
        step_balancer(i);
      }
      check_detection_times();
    }
    return violation_;
  }

  std::vector<Duration> detection_times;
  int flows_ended = 0;

 private:
  static SteeringState make_state() {
    SteeringState state;
    state.settings.version = 1;
    state.settings.idle_timeout_ms = 60000;
    state.settings.frontends.push_back({"f", kRepeatable, {{"alpha", 1}}, {}, 3000, 100});
    state.settings.frontends.push_back(
        {"g", kNonIdempotentFrontend, {{"alpha", 1}}, {}, 3000, 100});
    state.settings.frontends[1].request_class = RequestClass::kNonIdempotent;
    for (TargetId id = 1; id <= kTargetsOfZone * kZones; ++id) {
      RegisteredTarget target;
      target.id = id;
      target.token = token(id);
      target.pool = "alpha";
      target.address = {10, static_cast<std::uint16_t>(8000 + id)};
      target.zone = zone_name(zone_of(id));
      target.slots = 2;
      state.put(target);
    }
    return state;
  }

  [[nodiscard]] bool is_failure_active() const {
    return now_ >= kFailureStart && now_ < kFailureEnd;
  }
  [[nodiscard]] bool is_active(Scenario scenario) const {
    return is_failure_active() && scenario_ == scenario;
  }
  [[nodiscard]] bool is_cutting() const {
    return scenario_ >= Scenario::kSilentCut && scenario_ <= Scenario::kEvacuatedAndCut;
  }

  /// True when packets from one zone reach the other.
  [[nodiscard]] bool is_open(std::size_t from, std::size_t to) const {
    if (!is_failure_active() || !is_cutting() || from == to) {
      return true;
    }
    const std::size_t second = scenario_ == Scenario::kTwoCuts ? (zone_ + 1) % kZones : zone_;
    if (scenario_ == Scenario::kOneWayCut) {
      return to != zone_;
    }
    return from != zone_ && to != zone_ && from != second && to != second;
  }
  [[nodiscard]] bool is_reachable(std::size_t balancer, TargetId id) const {
    const std::size_t zone = zone_of(id);
    return is_open(balancer, zone) && is_open(zone, balancer);
  }
  [[nodiscard]] bool is_frozen(std::size_t balancer) const {
    return scenario_ == Scenario::kFrozenBalancer && balancer == zone_ && now_ >= kFailureStart &&
           now_ < kFailureStart + seconds(2);
  }
  [[nodiscard]] bool is_dark(TargetId id) const {
    return is_active(Scenario::kDarkRack) && zone_of(id) == zone_ && id % 2 == 0;
  }
  [[nodiscard]] bool is_lost(std::size_t balancer) {
    const bool is_full = is_active(Scenario::kFullLink) && balancer == zone_;
    const std::uint64_t of_100 = is_full ? 80 : (is_active(Scenario::kLoss) ? 10 : 0);
    return random_() % 100 < of_100;
  }

  void step_client(ClientFlow& flow) {
    if (flow.answer_at && now_ >= *flow.answer_at) {
      flow.answer_at.reset();
      flow.sent_at.reset();
      flow.repeat_at.reset();
      flow.acknowledged += 500;
      flow.next_request = now_ + milliseconds(50 + random_() % 250);
      send(flow, 0);
    } else if (!flow.sent_at && now_ >= flow.next_request) {
      flow.sent_at = now_;
      flow.repeat_at = now_ + milliseconds(200);
      flow.sequence += 100;
      send(flow, 100);
    } else if (flow.repeat_at && now_ >= *flow.repeat_at) {
      flow.repeat_at = now_ + (now_ - *flow.sent_at) * 2;
      send(flow, 100);
    } else if (flow.sent_at && now_ - *flow.sent_at > seconds(3)) {
      open(flow);
    }
  }

  void open(ClientFlow& flow) {
    flow.flow.client.port = static_cast<std::uint16_t>(flow.flow.client.port + 1);
    flow.sent_at.reset();
    flow.answer_at.reset();
    flow.repeat_at.reset();
    flow.next_request = now_ + milliseconds(random_() % 300);
    if (is_frozen(flow.balancer)) {
      return;
    }
    ClientPacket packet;
    packet.flow = flow.flow;
    packet.opens = true;
    const SteeringDecision decision = balancers_[flow.balancer].on_packet(packet, now_);
    if (decision.target == nullptr) {
      violation_ = "a flow was rejected although the local zone has targets";
      return;
    }
    flow.target = decision.target->id;
    if (balancers_[flow.balancer].zone_paths().is_cut(flow.target)) {
      violation_ =
          "a new flow went to target " + std::to_string(flow.target) + " behind a cut path";
    }
  }

  void send(ClientFlow& flow, std::uint32_t data) {
    const std::size_t balancer = flow.balancer;
    if (is_frozen(balancer) || is_lost(balancer)) {
      return;
    }
    ClientPacket packet;
    packet.flow = flow.flow;
    packet.token = token(flow.target);
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.acknowledged;
    packet.data_size = data;
    FlowSteering& steering = balancers_[balancer];
    const SteeringDecision decision = steering.on_packet(packet, now_);
    if (decision.action == SteeringAction::kReset) {
      if (steering.zone_paths().is_cut(flow.target)) {
        check_reset(flow);
      }
      open(flow);
      return;
    }
    // The response goes directly to the client, not through the balancer.
    const bool arrives = data > 0 && is_open(balancer, zone_of(flow.target)) &&
                         !is_dark(flow.target) && !is_lost(balancer);
    if (arrives && !flow.answer_at) {
      const bool is_in_zone = zone_of(flow.target) == zone_;
      const bool is_slow = is_active(Scenario::kSlowZone) && is_in_zone;
      const bool is_busy = is_active(Scenario::kBusyZone) && is_in_zone;
      const std::uint64_t work = 20 + random_() % 60;
      flow.answer_at = now_ + milliseconds(is_slow ? 900 + work : is_busy ? work * 8 : work);
    }
  }

  void step_balancer(std::size_t i) {
    if (is_frozen(i)) {
      return;
    }
    if (now_ >= next_step_[i]) {
      const bool is_tick = now_ >= next_tick_[i];
      next_step_[i] = now_ + TargetReachability::kStepInterval;
      if (is_tick) {
        next_tick_[i] = now_ + kTick;
        balancers_[i].on_tick(now_);
      }
      if (is_tick || balancers_[i].is_probing()) {
        run_probes(i);
      }
    }
    deliver_answers(i);
  }

  void run_probes(std::size_t i) {
    for (const auto& probe : balancers_[i].take_probes(now_)) {
      const auto id = static_cast<TargetId>(probe.address.port - 8000);
      const bool is_refused = is_active(Scenario::kRefusingCut) && !is_reachable(i, id);
      const bool is_delivered = is_reachable(i, id) && !is_dark(id) && !is_lost(i) && !is_lost(i);
      if (is_refused || is_delivered) {
        const bool is_busy = is_active(Scenario::kBusyZone) && zone_of(id) == zone_;
        answers_.push_back({i, probe.number,
                            is_refused ? ProbeAnswer::kRefused : ProbeAnswer::kAccepted,
                            now_ + milliseconds(is_busy ? 30 : 1 + random_() % 3)});
      }
    }
    // In half of the runs the balancer does not know the rate of its link.
    const bool is_congested = is_active(Scenario::kFullLink) && i == zone_ && knows_link_;
    for (const auto& change : balancers_[i].evaluate_zone_paths(is_congested, now_)) {
      check_change(i, change);
    }
    for (const auto& reset : balancers_[i].reset_flows_to_unreachable_zones(now_)) {
      on_zone_path_reset(reset);
    }
    for (const auto& detected : balancers_[i].evaluate_reachability(now_)) {
      for (const auto& reset : balancers_[i].reset_flows_to(detected.target)) {
        on_target_reset(reset);
      }
    }
  }

  void deliver_answers(std::size_t i) {
    std::erase_if(answers_, [&](const Answer& answer) {
      const bool is_due = answer.balancer == i && answer.at <= now_;
      if (is_due) {
        balancers_[i].on_probe_answer(answer.number, answer.what, now_);
      }
      return is_due;
    });
  }

  void check_change(std::size_t i, const ZonePathChange& change) {
    const std::size_t zone = static_cast<std::size_t>(change.zone[0] - 'a');
    const bool is_reached = is_open(i, zone) && is_open(zone, i);
    if (change.is_cut && is_reached) {
      violation_ = "balancer " + std::to_string(i) + " reports the open path to zone " +
                   change.zone + " as cut";
    }
    if (change.is_cut && is_failure_active()) {
      detection_times.push_back(now_ - kFailureStart);
    }
    if (!change.is_cut && !is_reached) {
      violation_ = "balancer " + std::to_string(i) + " reports a cut path as open";
    }
  }

  void check_reset(const ClientFlow& flow) {
    const bool is_recovering = now_ >= kFailureEnd && now_ < kFailureEnd + kMaxRecoveryTime;
    if (is_reachable(flow.balancer, flow.target) && !is_recovering) {
      violation_ = "a flow of target " + std::to_string(flow.target) +
                   " was reset although the target is reachable";
    }
  }

  void on_zone_path_reset(const FlowReset& reset) {
    for (auto& flow : flows_) {
      if (flow.flow != reset.flow) {
        continue;
      }
      ++flows_ended;
      check_reset(flow);
      // Only requests that the balancer has seen; a request may begin at the same moment.
      const bool is_in_flight = flow.sent_at && *flow.sent_at < now_;
      if (flow.flow.frontend == kNonIdempotentFrontend && is_in_flight) {
        violation_ = "a non-idempotent request in flight was interrupted";
      }
      open(flow);
    }
  }

  void on_target_reset(const FlowReset& reset) {
    for (auto& flow : flows_) {
      if (flow.flow == reset.flow) {
        open(flow);
      }
    }
  }

  /// Checks that all balancers detect cuts and recoveries in time.
  void check_detection_times() {
    const bool is_late = is_failure_active() && now_ > kFailureStart + kMaxDetectionTime;
    const bool is_over = now_ > kFailureEnd + kMaxRecoveryTime;
    for (std::size_t i = 0; i < kZones && (is_late || is_over); ++i) {
      for (std::size_t zone = 0; zone < kZones; ++zone) {
        const bool is_cut = balancers_[i].zone_paths().is_cut(zone_name(zone));
        const bool is_path_open = is_open(i, zone);
        if (is_late && !is_path_open && !is_cut) {
          violation_ = "balancer " + std::to_string(i) + " did not detect the cut path to zone " +
                       zone_name(zone);
        }
        if (is_over && is_cut) {
          violation_ = "balancer " + std::to_string(i) + " did not detect the recovery of a path";
        }
      }
    }
  }

  struct Answer {
    std::size_t balancer = 0;
    std::uint64_t number = 0;
    ProbeAnswer what = ProbeAnswer::kAccepted;
    Instant at;
  };

  static constexpr Instant kFailureStart = kStart + seconds(4);
  static constexpr Instant kFailureEnd = kStart + seconds(9);

  std::mt19937_64 random_;
  Scenario scenario_;
  bool knows_link_ = random_() % 2 == 0;
  /// The zone, or the balancer, that the scenario affects.
  std::size_t zone_;
  Instant now_ = kStart;
  std::vector<FlowSteering> balancers_;
  std::array<Instant, kZones> next_step_{};
  std::array<Instant, kZones> next_tick_{};
  std::vector<ClientFlow> flows_;
  std::vector<Answer> answers_;
  std::string violation_;
};

/// The workload with the same scenario for all seeds.
template <Scenario scenario>
class ScenarioWorkload : public ZoneWorkload {
 public:
  ScenarioWorkload(std::uint64_t seed, const SteeringFaults& faults)
      : ZoneWorkload(seed * kScenarios + static_cast<std::uint64_t>(scenario), faults) {}
};

}  // namespace

TEST_SUITE("zone_path_workload") {
  TEST_CASE("cut paths, and no others, are detected in time") {
    std::vector<Duration> times;
    int flows_ended = 0;
    for (std::uint64_t seed = 1; seed <= 240; ++seed) {
      ZoneWorkload workload(seed, {});
      const std::string violation = workload.run();
      CHECK_MESSAGE(violation.empty(),
                    "seed " << seed << ", scenario " << seed % kScenarios << ": " << violation);
      times.insert(times.end(), workload.detection_times.begin(), workload.detection_times.end());
      flows_ended += workload.flows_ended;
    }
    std::sort(times.begin(), times.end());
    REQUIRE(times.size() > 300);
    CHECK(times[times.size() / 2] < milliseconds(400));
    CHECK(flows_ended > 1000);
    MESSAGE("cuts detected after " << times[times.size() / 2] / milliseconds(1) << " ms (median), "
                                   << times.back() / milliseconds(1) << " ms (maximum), "
                                   << times.size() << " detections; flows ended: " << flows_ended);
  }

  TEST_CASE("each injected fault is detected") {
    SteeringFaults without_reference;
    without_reference.zone_paths.ignore_references = true;
    CHECK(is_fault_detected<ScenarioWorkload<Scenario::kFullLink>>(without_reference));
    SteeringFaults trusting;
    trusting.zone_paths.trust_one_target = true;
    CHECK(is_fault_detected<ScenarioWorkload<Scenario::kDarkRack>>(trusting));
  }
}

}  // namespace gorsevalve
