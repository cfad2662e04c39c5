/// A seeded workload over several balancers that steer by reflected tokens. Targets are added,
/// drain, announce their end and serve on, crash, and release their addresses to others; heartbeats
/// of crashed targets arrive late; settings change; each balancer receives revisions with its own
/// delay, some as deltas; and any balancer may receive a packet.
///
/// Checks after each packet: an open flow never moves, no packet reaches a pool that its frontend
/// never had, a target known to be draining gets no new flow, and a flow of a live target is reset
/// only when its frontend was dropped.
#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

#include "core/control/registration_monitor.h"
#include "core/control/steering_commands.h"
#include "core/steering/flow_steering.h"
#include "fault_detection.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::seconds(1000)};
constexpr std::size_t kBalancers = 4;
constexpr int kSteps = 3000;
constexpr milliseconds kHeartbeatInterval{1200};
constexpr milliseconds kCheckInterval{500};
constexpr Endpoint kFirst{0xC6120001, 443};
constexpr Endpoint kSecond{0xC6120002, 443};

struct OpenFlow {
  SteeredFlow flow;
  TargetId target = 0;
  FlowToken token = 0;
};

class Workload {
 public:
  Workload(std::uint64_t seed, const SteeringFaults& faults) : random_(seed) {
    for (std::size_t i = 0; i < kBalancers; ++i) {
      balancers_.emplace_back(seed + i);
      balancers_.back().set_faults(faults);
      balancers_.back().confirm(now_);
      revisions_.push_back(0);
    }
    monitor_.on_elected(now_);
    submit();
    for (int i = 0; i < 8; ++i) {
      announce_new(i % 3 == 0 ? "beta" : "alpha");
    }
    for (std::size_t i = 0; i < kBalancers; ++i) {
      catch_up(i, history_.size());
    }
  }

  /// Runs all steps; returns the first violation, or an empty string.
  std::string run() {
    for (int step = 0; step < kSteps && violation_.empty(); ++step) {
      now_ += milliseconds(5);
      run_leader();
      const std::uint64_t choice = random_() % 100;
      if (choice < 2) {
        submit();
      } else if (choice < 5) {
        change_target();
      } else if (choice < 25) {
        const std::size_t i = random_() % kBalancers;
        catch_up(i, revisions_[i] + 1 + random_() % (history_.size() - revisions_[i] + 1));
      } else if (choice < 45) {
        open_flow();
      } else if (!flows_.empty()) {
        send_packet();
      }
    }
    return violation_;
  }

 private:
  void record(const std::optional<SteeringDelta>& delta) {
    if (!delta) {
      return;
    }
    apply_steering_delta(state_, *delta);
    history_.push_back(state_);
    deltas_.push_back(*delta);
    for (const auto& frontend : state_.settings.frontends) {
      for (const auto& part : frontend.pools) {
        allowed_pools_.insert({frontend.address, part.pool});
      }
    }
  }

  void record(const RegistrationCommand& command) {
    record(steering_delta(state_, command, TokenIndex(state_)));
  }

  void announce(const RegisteredTarget& target) {
    monitor_.on_announcement(target.incarnation(), now_);
    RegistrationCommand command;
    command.announced = {target};
    record(command);
  }

  /// Targets send heartbeats, and the leader checks their timeouts.
  void run_leader() {
    if (now_ >= next_heartbeats_) {
      next_heartbeats_ = now_ + kHeartbeatInterval;
      for (const TargetId id : live_targets_) {
        const RegisteredTarget& target = state_.targets.at(id);
        if (!target.has_ended()) {
          monitor_.on_announcement(target.incarnation(), now_);
        }
      }
    }
    if (now_ >= next_check_) {
      next_check_ = now_ + kCheckInterval;
      record(monitor_.check_timeouts(state_, now_));
    }
  }

  void submit() {
    SteeringSettings settings;
    settings.version = ++version_;
    settings.idle_timeout_ms = 60000;
    settings.pools = {{"alpha", 9}, {"beta", 9}};
    settings.frontends.push_back(
        {"first",
         kFirst,
         {{"alpha", 90}, {"beta", static_cast<std::uint32_t>(random_() % 2 * 10)}},
         {},
         1000,
         100});
    if (random_() % 4 != 0) {
      settings.frontends.push_back({"second", kSecond, {{"beta", 1}}, {}, 1000, 100});
    }
    record(steering_delta(state_, settings));
  }

  void announce_new(const std::string& pool) {
    RegisteredTarget target;
    target.id = ++last_id_;
    target.pool = pool;
    target.address = {10, static_cast<std::uint16_t>(8000 + last_id_)};
    if (!free_addresses_.empty()) {
      target.address = free_addresses_.back();
      free_addresses_.pop_back();
    }
    target.sequence = 1;
    live_targets_.insert(target.id);
    announce(target);
  }

  /// The first heartbeat of a target that crashed before the present holder of its address started.
  void announce_late(const RegisteredTarget& holder) {
    RegisteredTarget late;
    late.id = ++last_id_;
    late.pool = random_() % 2 == 0 ? "alpha" : "beta";
    late.address = holder.address;
    late.sequence = 1;
    announce(late);
  }

  /// The target ends without a further announcement, and its address can be used again.
  void end_process(const RegisteredTarget& target) {
    live_targets_.erase(target.id);
    free_addresses_.push_back(target.address);
  }

  const RegisteredTarget& random_target() {
    const auto index = static_cast<std::ptrdiff_t>(random_() % state_.targets.size());
    return std::next(state_.targets.begin(), index)->second;
  }

  void change_target() {
    const RegisteredTarget target = random_target();
    if (!live_targets_.contains(target.id)) {
      announce_new(random_() % 2 == 0 ? "alpha" : "beta");
      return;
    }
    if (random_() % 4 == 0) {
      announce_late(target);
    } else if (target.has_ended()) {
      end_process(target);
    } else if (random_() % 4 == 0) {
      restart(target);
    } else if (live_targets_.size() > 4) {
      leave(target);
    }
  }

  void leave(const RegisteredTarget& target) {
    const std::uint64_t choice = random_() % 4;
    if (choice == 0) {
      end_process(target);
    } else if (choice == 1 || target.phase == TargetPhase::kDraining) {
      // The target serves its flows until its process ends.
      RegistrationCommand command;
      command.ended = {target.incarnation()};
      record(command);
    } else {
      RegisteredTarget draining = target;
      draining.phase = TargetPhase::kDraining;
      draining.sequence = target.sequence + 1;
      announce(draining);
    }
  }

  /// The target crashes and restarts with the same id and address, which ends its flows.
  void restart(const RegisteredTarget& crashed) {
    RegisteredTarget target = crashed;
    ++target.started_at_ms;
    target.sequence = 1;
    target.phase = TargetPhase::kReady;
    std::erase_if(flows_, [&](const OpenFlow& flow) { return flow.target == target.id; });
    announce(target);
  }

  void catch_up(std::size_t i, std::size_t revision) {
    const std::size_t to = std::min(revision, history_.size());
    if (to <= revisions_[i]) {
      return;
    }
    const bool uses_deltas = i % 2 == 0 && revisions_[i] > 0;
    if (!uses_deltas) {
      balancers_[i].adopt(history_[to - 1], now_);
    }
    for (std::size_t next = revisions_[i]; uses_deltas && next < to; ++next) {
      balancers_[i].apply(deltas_[next], now_);
    }
    revisions_[i] = to;
  }

  void open_flow() {
    const std::size_t i = random_() % kBalancers;
    ClientPacket packet;
    packet.flow = {{0x64400000 + ++last_caller_, 1}, random_() % 3 == 0 ? kSecond : kFirst};
    packet.opens = true;
    const SteeringDecision decision = balancers_[i].on_packet(packet, now_);
    if (decision.action != SteeringAction::kForward) {
      return;
    }
    check_pool(packet, *decision.target);
    const RegisteredTarget* known = find_target(history_[revisions_[i] - 1], decision.target->id);
    if (known == nullptr || known->phase >= TargetPhase::kDraining) {
      violation_ = "a draining or ended target got a new flow";
    }
    if (live_targets_.contains(decision.target->id)) {
      flows_.push_back({packet.flow, decision.target->id, decision.target->token});
    }
  }

  void send_packet() {
    const OpenFlow& flow = flows_[random_() % flows_.size()];
    ClientPacket packet;
    packet.flow = flow.flow;
    packet.token = flow.token;
    packet.acknowledged = static_cast<std::uint32_t>(random_());
    packet.data_size = random_() % 2 * 100;
    const std::size_t i = random_() % kBalancers;
    const SteeringDecision decision = balancers_[i].on_packet(packet, now_);
    if (decision.action == SteeringAction::kForward) {
      check_pool(packet, *decision.target);
      if (decision.target->id != flow.target) {
        violation_ = "an open flow moved";
      }
    }
    const bool dropped = decision.reason == SteeringReason::kFrontendDropped;
    if (decision.action == SteeringAction::kReset && live_targets_.contains(flow.target) &&
        !dropped) {
      violation_ = "a flow of a live target was reset";
    }
    // A client may send any token.
    packet.token = random_target().token;
    const SteeringDecision forged = balancers_[i].on_packet(packet, now_);
    if (forged.action == SteeringAction::kForward) {
      check_pool(packet, *forged.target);
    }
  }

  void check_pool(const ClientPacket& packet, const RegisteredTarget& target) {
    if (!allowed_pools_.contains({packet.flow.frontend, target.pool})) {
      violation_ = "a packet reached a pool that its frontend never had";
    }
  }

  std::mt19937_64 random_;
  Instant now_ = kStart;
  OperatorVersion version_ = 0;
  TargetId last_id_ = 0;
  std::uint32_t last_caller_ = 0;
  SteeringState state_;
  std::vector<SteeringState> history_;
  std::vector<SteeringDelta> deltas_;
  RegistrationMonitor monitor_{RegistrationTiming{}};
  Instant next_heartbeats_ = kStart;
  Instant next_check_ = kStart;
  std::vector<FlowSteering> balancers_;
  /// Revision applied by each balancer.
  std::vector<std::size_t> revisions_;
  std::set<TargetId> live_targets_;
  std::vector<Endpoint> free_addresses_;
  std::vector<OpenFlow> flows_;
  std::set<std::pair<Endpoint, std::string>> allowed_pools_;
  std::string violation_;
};

}  // namespace

TEST_SUITE("steering_workload") {
  TEST_CASE("the invariants hold over many seeds") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      const std::string violation = Workload(seed, {}).run();
      CHECK_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
    }
  }

  TEST_CASE("each injected fault is detected") {
    SteeringFaults ignore_token;
    ignore_token.ignore_token = true;
    CHECK(is_fault_detected<Workload>(ignore_token));
    SteeringFaults foreign;
    foreign.accept_foreign_tokens = true;
    CHECK(is_fault_detected<Workload>(foreign));
  }
}

}  // namespace gorsevalve
