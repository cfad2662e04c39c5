/// Workload for core/steering/target_refusals and core/control/refusal_relay: many targets end at
/// the same time, or are full for a while, under clients that try three times, each time at a
/// random balancer. Balancers of three zones run the production steering code. A replica in each
/// zone relays reports, and a leader aggregates target health, with the delays between the zones.
///
/// Checks the outcome of clients with refusal probes and without them.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/control/refusal_relay.h"
#include "core/control/target_health_aggregator.h"
#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kStep = milliseconds(1);
constexpr Endpoint kFrontend{0xC6120001, 443};
constexpr std::size_t kZones = 3;
constexpr std::size_t kBalancersPerZone = 12;
constexpr TargetId kTargets = 60;
/// New clients per millisecond: five per second and target, a high load.
constexpr double kClientsPerStep = 0.3;
constexpr int kMaxAttempts = 3;
/// Delay before a client retries, and its timeout for opening a connection.
constexpr Duration kRetryDelay = milliseconds(3);
constexpr Duration kConnectTimeout = milliseconds(1400);
constexpr std::array<Duration, 2> kRetransmissionTimes = {milliseconds(200), milliseconds(600)};
/// Time from a request to its response.
constexpr Duration kWork = milliseconds(30);
constexpr Duration kProbeStep = TargetReachability::kStepInterval;
constexpr Duration kTick = milliseconds(250);
constexpr Duration kHealthInterval = milliseconds(100);

enum class TargetState { kLives, kFull, kGone };

std::string zone_name(std::size_t zone) { return "zone-" + std::string(1, char('a' + zone)); }

Duration one_way(std::size_t from, std::size_t to) {
  return from == to ? microseconds(200) : microseconds(1400);
}

struct Client {
  std::size_t zone = 0;
  std::uint16_t port = 0;
  std::uint32_t address = 0;
  std::size_t balancer = 0;
  int attempts = 0;
  Instant started_at;
  /// Start of the current attempt.
  Instant attempt_started_at;
  std::size_t retransmissions = 0;
  TargetId target = 0;
  std::optional<Instant> established_at;
  std::optional<Instant> retry_at;
};

/// Outcome of all clients.
struct Outcome {
  int asked = 0;
  int served = 0;
  /// Clients whose attempts were all refused or timed out.
  int refused = 0;
  /// The same, of clients that started later than `kMaxDetectionTime` after the targets ended.
  int refused_late = 0;
  /// Clients that were served after more than 100 ms.
  int slow = 0;
  int placed_at_gone = 0;
  /// Time from the end of the targets to the last flow that was placed at one of them.
  Duration last_placed_after{0};
  std::uint64_t probes = 0;
  std::uint64_t messages = 0;
  std::size_t flows_ended = 0;
};

/// Time after which no balancer should place flows at a target that ended.
constexpr Duration kMaxDetectionTime = milliseconds(80);

class Workload {
 public:
  Workload(std::uint64_t seed, const SteeringPolicy& policy) : random_(seed) {
    SteeringState state;
    state.settings.version = 1;
    state.settings.idle_timeout_ms = 60000;
    state.settings.frontends.push_back({"f", kFrontend, {{"alpha", 1}}, {}, 2500, 250});
    for (TargetId id = 1; id <= kTargets; ++id) {
      RegisteredTarget target;
      target.id = id;
      target.token = static_cast<FlowToken>(100 + id);
      target.pool = "alpha";
      target.address = {10, static_cast<std::uint16_t>(8000 + id)};
      target.slots = 2;
      target.zone = zone_name(zone_of(id));
      state.put(target);
    }
    state_ = state;
    balancers_.reserve(kZones * kBalancersPerZone);
    for (std::size_t i = 0; i < kZones * kBalancersPerZone; ++i) {
      balancers_.emplace_back(seed * 100 + i, zone_name(i / kBalancersPerZone), policy);
      balancers_.back().adopt(state, now_);
      balancers_.back().confirm(now_);
      balancers_.back().set_balancer_rank(
          {static_cast<std::uint32_t>(i), kZones * kBalancersPerZone}, now_);
    }
  }

  /// Puts a third of all targets into this state from `at` until `until`.
  void inject_failure(TargetState failure, Duration at, Duration until) {
    failure_ = failure;
    failure_starts_at_ = kStart + at;
    failure_ends_at_ = kStart + until;
  }
  /// Something on the path between two zones refuses connections in place of the targets.
  void cut_with_refusals(std::size_t from, std::size_t to) { refused_paths_ = {{from, to}}; }

  /// Injected fault: reports of the balancers of one zone apply to all zones.
  void apply_reports_to_all_zones() { applies_reports_to_all_zones_ = true; }

  Outcome run(Duration time) {
    while (now_ < kStart + time) {
      now_ += kStep;
      deliver();
      if (std::uniform_real_distribution<double>(0, 1)(random_) < kClientsPerStep) {
        start_client();
      }
      for (auto& client : clients_) {
        step(client);
      }
      std::erase_if(clients_, [](const Client& client) { return client.attempts > kMaxAttempts; });
      for (std::size_t i = 0; i < balancers_.size(); ++i) {
        step_balancer(i);
      }
      step_control();
    }
    return outcome_;
  }

  void clear_placed() { placed_.clear(); }
  /// Number of flows that the balancers of one zone placed at targets of another since the last
  /// call.
  int take_placed(std::size_t from, std::size_t to) {
    return std::exchange(placed_[{from, to}], 0);
  }

 private:
  struct Event {
    Instant at;
    std::function<void()> action;
  };

  static std::size_t zone_of(TargetId target) { return target % kZones; }
  static std::size_t zone_of_balancer(std::size_t i) { return i / kBalancersPerZone; }

  [[nodiscard]] TargetState state_of(TargetId target) const {
    const bool has_failed = (target / kZones) % 3 == 0 && now_ >= failure_starts_at_;
    return has_failed && now_ < failure_ends_at_ ? failure_ : TargetState::kLives;
  }

  [[nodiscard]] bool is_path_refused(std::size_t balancer, TargetId target) const {
    return std::any_of(refused_paths_.begin(), refused_paths_.end(), [&](const auto& path) {
      return path.first == zone_of_balancer(balancer) && path.second == zone_of(target);
    });
  }

  void later(Duration delay, std::function<void()> action) {
    events_.push_back({now_ + delay, std::move(action)});
  }

  void deliver() {
    std::vector<Event> due;
    std::erase_if(events_, [&](Event& event) {
      const bool is_due = event.at <= now_;
      if (is_due) {
        due.push_back(std::move(event));
      }
      return is_due;
    });
    for (auto& event : due) {
      event.action();
    }
  }

  void start_client() {
    Client client;
    client.zone = random_() % kZones;
    client.address = 0x64400000 + ++last_caller_;
    client.started_at = now_;
    ++outcome_.asked;
    start_attempt(client);
    clients_.push_back(client);
  }

  void start_attempt(Client& client) {
    client.retry_at.reset();
    client.established_at.reset();
    if (++client.attempts > kMaxAttempts) {
      ++outcome_.refused;
      outcome_.refused_late += client.started_at > failure_starts_at_ + kMaxDetectionTime ? 1 : 0;
      return;
    }
    client.port = static_cast<std::uint16_t>(4000 + client.attempts);
    client.balancer = client.zone * kBalancersPerZone + random_() % kBalancersPerZone;
    client.attempt_started_at = now_;
    client.retransmissions = 0;
    send_syn(client);
  }

  void send_syn(Client& client) {
    ClientPacket packet;
    packet.flow = {{client.address, client.port}, kFrontend};
    packet.opens = true;
    packet.retransmissions = static_cast<std::uint32_t>(client.retransmissions);
    const SteeringDecision decision = balancers_[client.balancer].on_packet(packet, now_);
    if (decision.action != SteeringAction::kForward) {
      client.retry_at = now_ + kRetryDelay;
      return;
    }
    client.target = decision.target->id;
    const std::size_t zone = zone_of(client.target);
    ++placed_[{client.zone, zone}];
    const TargetState state = state_of(client.target);
    const Duration round_trip = milliseconds(2) + 2 * one_way(client.zone, zone);
    if (state == TargetState::kGone || is_path_refused(client.balancer, client.target)) {
      ++outcome_.placed_at_gone;
      outcome_.last_placed_after = now_ - failure_starts_at_;
      client.retry_at = now_ + kRetryDelay;
    } else if (state == TargetState::kLives && !client.established_at) {
      client.established_at = now_ + round_trip;
    }
  }

  void step(Client& client) {
    if (client.attempts > kMaxAttempts) {
      return;
    }
    const bool is_timed_out = now_ - client.attempt_started_at >= kConnectTimeout;
    const bool retries = client.retry_at && now_ >= *client.retry_at;
    const bool retransmits =
        !client.retry_at && client.retransmissions < kRetransmissionTimes.size() &&
        now_ - client.attempt_started_at >= kRetransmissionTimes[client.retransmissions];
    if (client.established_at && now_ >= *client.established_at) {
      finish(client);
    } else if (retries || is_timed_out) {
      start_attempt(client);
    } else if (retransmits) {
      ++client.retransmissions;
      send_syn(client);
    }
  }

  /// The flow is established; its client is served and closes it.
  void finish(Client& client) {
    ClientPacket packet;
    packet.flow = {{client.address, client.port}, kFrontend};
    packet.token = static_cast<FlowToken>(100 + client.target);
    packet.acknowledged = 1;
    packet.data_size = 100;
    balancers_[client.balancer].on_packet(packet, now_);
    packet.data_size = 0;
    packet.acknowledged = 501;
    packet.closes = true;
    later(kWork, [this, balancer = client.balancer, packet] {
      balancers_[balancer].on_packet(packet, now_);
    });
    ++outcome_.served;
    outcome_.slow += now_ - client.started_at > milliseconds(100) ? 1 : 0;
    client.attempts = kMaxAttempts + 1;
  }

  void step_balancer(std::size_t i) {
    FlowSteering& balancer = balancers_[i];
    const auto next = balancer.next_reply_deadline();
    const bool is_due = (next && now_ >= *next) || (now_ - kStart) % kTick == kStep * (i + 1);
    if (is_due) {
      balancer.check_reply_timeouts(now_);
    }
    const bool steps = balancer.is_probing() && (is_due || (now_ - kStart) % kProbeStep == kStep);
    if (steps) {
      probe(i);
    }
    if (balancer.has_failures()) {
      report(i);
    }
  }

  void probe(std::size_t i) {
    for (const auto& probe : balancers_[i].take_probes(now_)) {
      ++outcome_.probes;
      const auto id = static_cast<TargetId>(probe.address.port - 8000);
      const bool accepts = state_of(id) == TargetState::kLives && !is_path_refused(i, id);
      const ProbeAnswer answer = accepts ? ProbeAnswer::kAccepted : ProbeAnswer::kRefused;
      later(2 * one_way(zone_of_balancer(i), zone_of(id)), [this, i, probe, answer] {
        balancers_[i].on_probe_answer(probe.number, answer, now_);
        this->probe(i);
      });
    }
    for (const auto& detected : balancers_[i].evaluate_reachability(now_)) {
      outcome_.flows_ended += balancers_[i].reset_flows_to(detected.target).size();
    }
  }

  void report(std::size_t i) {
    const std::size_t zone = zone_of_balancer(i);
    const std::vector<TargetStatistics> seen = balancers_[i].take_observations();
    later(one_way(zone, zone), [this, i, zone, seen] {
      relays_[zone].on_observations({static_cast<std::uint32_t>(i), 6000}, zone_name(zone), seen,
                                    now_);
      later(one_way(zone, 0), [this, seen] { aggregator_.add(seen, now_); });
    });
  }

  [[nodiscard]] RefusingTargets with_faults(RefusingTargets message, std::size_t zone) const {
    if (applies_reports_to_all_zones_) {
      message.zone = zone_name(zone);
    }
    return message;
  }

  void step_control() {
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      const RefusalRelay::Outgoing due = relays_[zone].take_outgoing(now_);
      for (const auto& message : due.to_replicas) {
        for (std::size_t other = 0; other < kZones; ++other) {
          if (other != zone) {
            ++outcome_.messages;
            later(one_way(zone, other),
                  [this, other, message] { relays_[other].on_relayed(message, now_); });
          }
        }
      }
      for (const auto& message : due.to_balancers) {
        for (std::size_t i = 0; i < kBalancersPerZone; ++i) {
          ++outcome_.messages;
          later(one_way(zone, zone), [this, zone, i, message] {
            balancers_[zone * kBalancersPerZone + i].on_refusing(with_faults(message, zone), now_);
            probe(zone * kBalancersPerZone + i);
          });
        }
      }
    }
    if (aggregator_.has_failures() && now_ - health_sent_at_ >= kHealthInterval) {
      health_sent_at_ = now_;
      send_target_health(aggregator_.evaluate(state_, now_));
    }
  }

  void send_target_health(const std::vector<TargetHealth>& health) {
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
      later(one_way(0, zone_of_balancer(i)),
            [this, i, health] { balancers_[i].set_target_health(health, now_); });
    }
  }

  std::mt19937_64 random_;
  Instant now_ = kStart;
  SteeringState state_;
  std::vector<FlowSteering> balancers_;
  std::array<RefusalRelay, kZones> relays_;
  TargetHealthAggregator aggregator_;
  Instant health_sent_at_ = kStart;
  std::vector<Event> events_;
  std::vector<Client> clients_;
  std::uint32_t last_caller_ = 0;
  TargetState failure_ = TargetState::kLives;
  Instant failure_starts_at_ = Instant::max();
  Instant failure_ends_at_ = Instant::max();
  std::vector<std::pair<std::size_t, std::size_t>> refused_paths_;
  bool applies_reports_to_all_zones_ = false;
  std::map<std::pair<std::size_t, std::size_t>, int> placed_;
  Outcome outcome_;
};

SteeringPolicy without_refusal_probes() {
  SteeringPolicy policy;
  policy.refusal_probes = 0;
  return policy;
}

/// Sum of the outcomes over several seeds.
Outcome run_seeds(const SteeringPolicy& policy, TargetState failure, Duration until) {
  Outcome sum;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Workload workload(seed, policy);
    workload.inject_failure(failure, seconds(4), seconds(4) + until);
    const Outcome one = workload.run(seconds(8));
    sum.asked += one.asked;
    sum.served += one.served;
    sum.refused += one.refused;
    sum.refused_late += one.refused_late;
    sum.slow += one.slow;
    sum.placed_at_gone += one.placed_at_gone;
    sum.last_placed_after = std::max(sum.last_placed_after, one.last_placed_after);
    sum.probes += one.probes;
    sum.messages += one.messages;
  }
  return sum;
}

void print(const std::string& name, const Outcome& outcome) {
  MESSAGE(name << ": clients " << outcome.asked << ", refused at each attempt " << outcome.refused
               << " (of these started later than 80 ms " << outcome.refused_late << "), slow "
               << outcome.slow << ", flows placed at ended targets " << outcome.placed_at_gone
               << ", last one after " << outcome.last_placed_after / milliseconds(1)
               << " ms, probes " << outcome.probes << ", messages " << outcome.messages);
}

}  // namespace

TEST_SUITE("refusal_workload") {
  TEST_CASE("after a third of all targets end at once, client refusals stop quickly") {
    const Outcome without_probes =
        run_seeds(without_refusal_probes(), TargetState::kGone, seconds(4));
    const Outcome with_probes = run_seeds({}, TargetState::kGone, seconds(4));
    print("without refusal probes", without_probes);
    print("with refusal probes", with_probes);
    CHECK(with_probes.refused_late == 0);
    CHECK(with_probes.placed_at_gone * 3 <= without_probes.placed_at_gone);
    CHECK(with_probes.refused * 3 <= without_probes.refused);
  }

  TEST_CASE("if a third of all targets are full for a second, no clients are worse off") {
    const Outcome without_probes =
        run_seeds(without_refusal_probes(), TargetState::kFull, seconds(1));
    const Outcome with_probes = run_seeds({}, TargetState::kFull, seconds(1));
    print("without refusal probes", without_probes);
    print("with refusal probes", with_probes);
    CHECK(with_probes.refused == 0);
    CHECK(with_probes.slow <= without_probes.slow);
  }

  TEST_CASE("refusals on the path to a zone do not divert flows of other zones") {
    Workload without_probes(3, without_refusal_probes());
    Workload with_probes(3, {});
    for (Workload* workload : {&without_probes, &with_probes}) {
      workload->cut_with_refusals(0, 1);
      workload->run(seconds(4));
      workload->clear_placed();
      workload->run(seconds(6));
    }
    // Target health from unanswered opening packets (SYN) reaches all zones in both cases.
    CHECK(with_probes.take_placed(1, 1) * 20 >= without_probes.take_placed(1, 1) * 19);
    CHECK(with_probes.take_placed(2, 1) * 20 >= without_probes.take_placed(2, 1) * 19);
  }

  TEST_CASE("an injected fault that applies refusal reports of another zone is detected") {
    // Injected fault: refusals on the path to a zone are reported as if the zone itself had seen
    // them.
    Workload faulty(3, {});
    faulty.apply_reports_to_all_zones();
    Workload fault_free(3, {});
    for (Workload* workload : {&faulty, &fault_free}) {
      workload->cut_with_refusals(0, 1);
      workload->run(seconds(4));
      workload->clear_placed();
      workload->run(seconds(6));
    }
    CHECK(faulty.take_placed(2, 1) * 20 < fault_free.take_placed(2, 1) * 19);
  }
}

}  // namespace gorsevalve
