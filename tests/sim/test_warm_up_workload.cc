/// Seeded workload over 80 balancers: under peak load the 40 targets of a zone restart, while
/// some balancers have just started, ranks arrive late or never, and the control replicas may elect
/// a new leader.
///
/// Checks that no target that is warming up takes more opening packets (SYN) in any second than its
/// limit, that no flow is rejected while warm targets remain, that the allowed rate is used, and
/// that no burst follows the warm-up.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "core/control/balancer_ranking.h"
#include "core/steering/flow_steering.h"
#include "fault_detection.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Instant kZoneRestart = kStart + seconds(12);
constexpr Instant kEnd = kZoneRestart + seconds(9);
constexpr Endpoint kFrontend{0xC6120001, 443};
constexpr std::uint32_t kBalancers = 80;
constexpr TargetId kTargets = 120;
constexpr TargetId kZoneTargets = 40;
/// Limit of flows within any second at a target that is warming up: this multiple of the rate plus
/// `kSlack`.
constexpr double kOverrun = 1.5;
constexpr double kSlack = 5;
constexpr double kBusyFlowsPerS = 1000;

struct Measurements {
  /// Flows placed during the warm-up as a fraction of the allowed rate.
  double used_of_rate = 0;
  /// The same, with the allowed rate capped at the flow rate of a warm target.
  double used_of_share = 0;
  /// Largest fraction of its limit that a target took in any second.
  double max_fraction_of_bound = 0;
  /// Maximum of flows at a target within a second, in the two seconds after the warm-up, for
  /// targets that were warming up and for all others.
  std::size_t most_after = 0;
  std::size_t most_of_others = 0;
  std::size_t refused = 0;
};

class Workload {
 public:
  Workload(std::uint64_t seed, const SteeringFaults& faults) : random_(seed), faults_(faults) {
    constexpr std::array<std::uint32_t, 5> kRates = {2, 3, 5, 10, 20};
    const std::uint32_t rate = kRates[seed % kRates.size()];
    rate_ = rate;
    warm_up_ = milliseconds(2000 + 1000 * (seed % 3));
    has_new_leader_ = seed % 2 == 0;
    state_.settings.version = 1;
    state_.settings.idle_timeout_ms = 60000;
    Pool pool{"alpha", 9};
    pool.warm_up_ms = static_cast<std::uint32_t>(warm_up_ / milliseconds(1));
    pool.cold_flows_per_1000_s = rate * 1000;
    state_.settings.pools = {pool};
    state_.settings.frontends.push_back({"f", kFrontend, {{"alpha", 1}}, {}, 1000, 100});
    for (TargetId id = 1; id <= kTargets; ++id) {
      state_.put(make_target(id, 0));
    }
    for (std::uint32_t i = 0; i < kBalancers; ++i) {
      add_balancer(i);
    }
    leader_.on_elected(kStart);
  }

  std::string run() {
    at(kStart, [this] { report(); });
    at(kZoneRestart, [this] { restart_zone(); });
    if (has_new_leader_) {
      at(kZoneRestart - seconds(2) + milliseconds(pick(3000)), [this] {
        leader_ = BalancerRanking();
        leader_.on_elected(now_);
      });
    }
    at(kStart, [this] { start_flow(); });
    while (!events_.empty() && events_.begin()->first < kEnd) {
      now_ = events_.begin()->first;
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    check_bounds();
    measure();
    return violation_;
  }

  [[nodiscard]] const Measurements& measured() const { return measured_; }

 private:
  struct SimulatedBalancer {
    std::unique_ptr<FlowSteering> steering;
    Endpoint address;
    Instant starts_at;
    bool never_receives_rank = false;
    double weight = 1;
  };

  static RegisteredTarget make_target(TargetId id, std::uint32_t warm_up_ms) {
    RegisteredTarget target;
    target.id = id;
    target.token = static_cast<FlowToken>(1000 + id);
    target.pool = "alpha";
    target.address = {10, static_cast<std::uint16_t>(8000 + id)};
    target.zone = "zone-" + std::to_string(id % 3);
    target.slots = 2;
    target.warm_up_ms = warm_up_ms;
    return target;
  }

  std::uint64_t pick(std::uint64_t below) { return random_() % below; }
  void at(Instant when, std::function<void()> action) { events_.emplace(when, std::move(action)); }

  void add_balancer(std::uint32_t i) {
    SimulatedBalancer balancer;
    balancer.address = {0x0A000000 + i * 7919, 6000};
    balancer.weight = i % 3 == 0 ? 3 : 1;
    // A third of the balancers starts around the restart of the zone.
    const bool is_new = pick(3) == 0;
    balancer.starts_at = is_new ? kZoneRestart - seconds(3) + milliseconds(pick(4000)) : kStart;
    balancer.never_receives_rank = pick(20) == 0;
    balancer.steering = std::make_unique<FlowSteering>(random_(), "zone-" + std::to_string(i % 3));
    balancer.steering->set_faults(faults_);
    balancers_.push_back(std::move(balancer));
    const Instant starts = balancers_.back().starts_at;
    at(starts, [this, i] {
      balancers_[i].steering->adopt(state_, now_);
      balancers_[i].steering->confirm(now_);
      if (i % 4 != 0) {
        balancers_[i].steering->set_target_health({{1001, 120}}, now_);
      }
    });
    at(starts + milliseconds(1 + pick(500)), [this, i] { heartbeat(i); });
  }

  /// Ranks arrive up to 2 s late, and some are lost.
  void heartbeat(std::uint32_t i) {
    at(now_ + milliseconds(500), [this, i] { heartbeat(i); });
    at(now_ + milliseconds(250), [this, i] { (void)balancers_[i].steering->take_warmed(now_); });
    reported_.push_back(balancers_[i].address);
    if (balancers_[i].never_receives_rank || pick(5) == 0) {
      return;
    }
    const BalancerRank rank = leader_.rank_of(balancers_[i].address, now_);
    at(now_ + milliseconds(pick(2000)),
       [this, i, rank] { balancers_[i].steering->set_balancer_rank(rank, now_); });
  }

  void report() {
    at(now_ + seconds(1), [this] { report(); });
    leader_.on_reported(std::exchange(reported_, {}), now_);
    leader_.assign_ranks(now_);
  }

  void restart_zone() {
    SteeringDelta delta;
    for (TargetId id = 3; id <= kTargets; id += 3) {
      delta.removed_targets.push_back(id);
      delta.upserted_targets.push_back(
          make_target(kTargets + id, static_cast<std::uint32_t>(warm_up_ / milliseconds(1))));
    }
    for (const TargetId id : delta.removed_targets) {
      state_.targets.erase(id);
    }
    for (const auto& target : delta.upserted_targets) {
      state_.put(target);
    }
    for (std::uint32_t i = 0; i < kBalancers; ++i) {
      if (balancers_[i].starts_at <= now_) {
        at(now_ + milliseconds(20 + pick(200)),
           [this, i, delta] { balancers_[i].steering->apply(delta, now_); });
      }
    }
  }

  std::uint32_t pick_balancer() {
    while (true) {
      const auto i = static_cast<std::uint32_t>(pick(kBalancers));
      const SimulatedBalancer& balancer = balancers_[i];
      if (balancer.starts_at <= now_ && pick(3) < static_cast<std::uint64_t>(balancer.weight)) {
        return i;
      }
    }
  }

  void start_flow() {
    // 600 new flows per second, and two thirds more under peak load.
    const double per_s = now_ > kZoneRestart - seconds(1) ? kBusyFlowsPerS : 600;
    const double pause_s = std::exponential_distribution<>(per_s)(random_);
    at(now_ + Duration(static_cast<std::int64_t>(pause_s * 1e6) + 1), [this] { start_flow(); });
    ClientPacket packet;
    packet.flow = {{0x64400000 + ++last_caller_, 1}, kFrontend};
    packet.opens = true;
    const std::uint32_t i = pick_balancer();
    const bool is_answered = pick(20) != 0;
    open(i, packet, is_answered);
    if (!is_answered) {
      at(now_ + milliseconds(200), [this, i, packet] { repeat(i, packet, 1); });
      at(now_ + milliseconds(600), [this, i, packet] { repeat(i, packet, 2); });
    }
  }

  void repeat(std::uint32_t i, ClientPacket packet, std::uint32_t retransmission_count) {
    packet.retransmissions = retransmission_count;
    open(i, packet, false);
  }

  void open(std::uint32_t i, const ClientPacket& packet, bool is_answered) {
    const SteeringDecision decision = balancers_[i].steering->on_packet(packet, now_);
    if (decision.action != SteeringAction::kForward) {
      ++measured_.refused;
      return;
    }
    if (decision.reason != SteeringReason::kRetransmission) {
      taken_[decision.target->id].push_back(now_);
    }
    if (!is_answered) {
      return;
    }
    ClientPacket follows = packet;
    follows.opens = false;
    follows.token = decision.target->token;
    at(now_ + milliseconds(5),
       [this, i, follows] { balancers_[i].steering->on_packet(follows, now_); });
    follows.closes = true;
    at(now_ + milliseconds(200 + pick(4000)),
       [this, i, follows] { balancers_[i].steering->on_packet(follows, now_); });
  }

  /// Maximum number of instants of an ascending list within one second.
  static std::size_t max_in_a_second(const std::vector<Instant>& instants) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < instants.size(); ++last) {
      while (instants[last] - instants[first] > seconds(1)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  [[nodiscard]] std::vector<Instant> taken_between(TargetId id, Instant from, Instant to) const {
    std::vector<Instant> result;
    const auto found = taken_.find(id);
    if (found != taken_.end()) {
      std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(result),
                   [&](Instant instant) { return instant >= from && instant < to; });
    }
    return result;
  }

  void check_bounds() {
    for (TargetId id = kTargets + 3; id <= 2 * kTargets; id += 3) {
      const std::size_t most =
          max_in_a_second(taken_between(id, kZoneRestart, kZoneRestart + warm_up_));
      const double bound = rate_ * kOverrun + kSlack;
      measured_.max_fraction_of_bound =
          std::max(measured_.max_fraction_of_bound, static_cast<double>(most) / bound);
      if (static_cast<double>(most) > bound) {
        violation_ = "a target that is warming up took " + std::to_string(most) +
                     " flows in a second, rate " + std::to_string(rate_);
      }
    }
    if (measured_.refused > 0) {
      violation_ = "a flow was rejected although warm targets remained";
    }
  }

  void measure() {
    const Instant warm = kZoneRestart + warm_up_;
    std::size_t used = 0;
    for (TargetId id = 1; id <= 2 * kTargets; ++id) {
      const bool was_cold = id > kTargets;
      used += was_cold ? taken_between(id, kZoneRestart, warm).size() : 0;
      std::size_t& most = was_cold ? measured_.most_after : measured_.most_of_others;
      most = std::max(most, max_in_a_second(taken_between(id, warm, warm + seconds(2))));
    }
    const double warm_up_s = std::chrono::duration<double>(warm_up_).count();
    const double per_target_s = static_cast<double>(used) / (kZoneTargets * warm_up_s);
    measured_.used_of_rate = per_target_s / rate_;
    measured_.used_of_share = per_target_s / std::min(rate_, kBusyFlowsPerS / kTargets);
  }

  std::mt19937_64 random_;
  SteeringFaults faults_;
  double rate_ = 0;
  Duration warm_up_{};
  bool has_new_leader_ = false;
  Instant now_ = kStart;
  std::multimap<Instant, std::function<void()>> events_;
  SteeringState state_;
  BalancerRanking leader_;
  std::vector<Endpoint> reported_;
  std::vector<SimulatedBalancer> balancers_;
  std::uint32_t last_caller_ = 0;
  /// Times of the opening packets (SYN) that each target took.
  std::map<TargetId, std::vector<Instant>> taken_;
  Measurements measured_;
  std::string violation_;
};

}  // namespace

TEST_SUITE("warm_up_workload") {
  TEST_CASE("targets that are warming up stay within their limits, and no flow is rejected") {
    constexpr std::uint64_t kSeeds = 60;
    double used = 0;
    double used_of_share = 0;
    double of_bound = 0;
    double most_after = 0;
    double most_of_others = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Workload workload(seed, {});
      const std::string violation = workload.run();
      CHECK_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
      used += workload.measured().used_of_rate / kSeeds;
      used_of_share += workload.measured().used_of_share / kSeeds;
      of_bound = std::max(of_bound, workload.measured().max_fraction_of_bound);
      most_after += static_cast<double>(workload.measured().most_after) / kSeeds;
      most_of_others += static_cast<double>(workload.measured().most_of_others) / kSeeds;
    }
    MESSAGE("fraction of the allowed rate used: "
            << used << ", of the share of the flows: " << used_of_share
            << "; largest fraction of a limit: " << of_bound
            << "; most flows in a second after the warm-up: " << most_after
            << ", at other targets: " << most_of_others);
    CHECK(used_of_share >= 0.5);
    CHECK(most_after <= 1.5 * most_of_others);
  }

  TEST_CASE("an injected fault in which each balancer uses the whole budget is detected") {
    SteeringFaults whole_budget;
    whole_budget.take_whole_budget = true;
    CHECK(is_fault_detected<Workload>(whole_budget));
  }
}

}  // namespace gorsevalve
