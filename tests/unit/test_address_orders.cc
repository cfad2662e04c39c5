/// All orders of events of two and of three targets that have one address in turn. A target
/// registers, sends heartbeats, of which some are held back by a cut and arrive later, says that it
/// drains, announces its end, and ends or crashes; heartbeats of a running target may be missing
/// for a while. After each event balancers that know the state by deltas, by a snapshot, by a
/// snapshot and later deltas, or after a lost update, are asked where packets of each target's
/// flows go.
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "address_world.h"
#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using namespace shared_address;  // NOLINT(google-build-using-namespace)

/// Balancers that know the same state in different ways.
class Balancers {
 public:
  explicit Balancers(const AddressWorld& world) : world_(world), now_(world.now()) {
    by_snapshot_.adopt(world.state(), now_);
    const std::size_t count = world.revisions().size();
    apply(by_deltas_, 0, count);
    apply(from_the_middle_, 0, count / 2, true);
    apply(from_the_middle_, count / 2, count);
    // The update before the last one is lost, so the balancer adopts the whole state.
    apply(after_a_loss_, 0, count - std::min<std::size_t>(count, 2));
    after_a_loss_.adopt(world.state(), now_);
    for (FlowSteering* steering : all()) {
      steering->confirm(now_ - seconds(5));
    }
  }

  /// Returns what is wrong, or an empty string.
  std::string check() {
    std::string error;
    for (TargetId id = 1; id <= world_.lives() && error.empty(); ++id) {
      if (world_.is_registered(id)) {
        error = world_.life(id).is_running ? check_running(id) : check_gone(id);
      }
    }
    return error;
  }

  /// Returns what is wrong if a target that is gone still gets packets.
  std::string check_decided() {
    for (TargetId id = 1; id <= world_.lives(); ++id) {
      if (world_.life(id).is_running || !world_.is_registered(id)) {
        continue;
      }
      for (FlowSteering* steering : all()) {
        if (steering->on_packet(world_.packet_of(id, 1), now_).action != SteeringAction::kReset) {
          return "a packet for a target that is gone goes to the address of another";
        }
      }
    }
    return {};
  }

 private:
  std::vector<FlowSteering*> all() {
    return {&by_deltas_, &by_snapshot_, &from_the_middle_, &after_a_loss_};
  }

  void apply(FlowSteering& steering, std::size_t from, std::size_t to, bool as_snapshot = false) {
    SteeringState state;
    for (std::size_t i = from; i < to; ++i) {
      const AddressWorld::Revision& revision = world_.revisions()[i];
      if (as_snapshot) {
        apply_steering_delta(state, revision.delta);
      } else {
        steering.apply(revision.delta, revision.at);
      }
    }
    if (as_snapshot) {
      steering.adopt(state, kStart);
    }
  }

  std::string check_running(TargetId id) {
    for (FlowSteering* steering : all()) {
      if (!is_forwarded(*steering, id)) {
        return "a flow of a running target is reset";
      }
    }
    const bool survives =
        survives_lost_answers(by_deltas_, id) && survives_lost_answers(by_snapshot_, id);
    return survives ? "" : "lost datagrams end the flows of a running target";
  }

  std::string check_gone(TargetId id) {
    std::optional<SteeringAction> action;
    for (FlowSteering* steering : all()) {
      const SteeringDecision decision = steering->on_packet(world_.packet_of(id, 1), now_);
      if (decision.target != nullptr && decision.target->id != id) {
        return "a packet for a target that is gone goes to another target";
      }
      if (action.value_or(decision.action) != decision.action) {
        return "balancers with the same state decide differently";
      }
      action = decision.action;
    }
    return {};
  }

  bool is_forwarded(FlowSteering& steering, TargetId id) const {
    const SteeringDecision decision = steering.on_packet(world_.packet_of(id, 2), now_);
    return decision.action == SteeringAction::kForward && decision.target->id == id;
  }

  /// The answers to a request and to its retransmissions are lost, which raises a suspicion. Probes
  /// are accepted.
  bool survives_lost_answers(FlowSteering& steering, TargetId id) const {
    ClientPacket request = world_.packet_of(kReference, 3);
    steering.on_packet(request, now_);
    request.acknowledged = 500;
    steering.on_packet(request, now_ + milliseconds(20));
    for (const milliseconds at : {milliseconds(0), milliseconds(200), milliseconds(600)}) {
      steering.on_packet(world_.packet_of(id, 4), now_ + at);
    }
    bool is_found_unreachable = false;
    for (milliseconds at{600}; at < milliseconds(800); at += milliseconds(25)) {
      for (const auto& probe : steering.take_probes(now_ + at)) {
        steering.on_probe_answer(probe.number, ProbeAnswer::kAccepted, now_ + at);
      }
      is_found_unreachable |= !steering.evaluate_reachability(now_ + at).empty();
    }
    return !is_found_unreachable && is_forwarded(steering, id);
  }

  const AddressWorld& world_;
  Instant now_;
  FlowSteering by_deltas_{1};
  FlowSteering by_snapshot_{2};
  FlowSteering from_the_middle_{3};
  FlowSteering after_a_loss_{4};
};

/// Plays every order of the scripts' events, deliveries of what was held back, and one time in
/// which heartbeats are missing.
class Orders {
 public:
  explicit Orders(std::vector<Script> scripts, bool has_clients = false)
      : scripts_(std::move(scripts)) {
    play(AddressWorld(scripts_.size(), has_clients), 0, 0, true, {});
  }

  [[nodiscard]] std::size_t count() const { return count_; }
  /// The first order that failed, with what was wrong; empty if none did.
  [[nodiscard]] const std::string& failure() const { return failure_; }

 private:
  void play(const AddressWorld& world, std::size_t script, std::size_t event, bool may_wait,
            const std::string& order) {
    ++count_;
    check(world, order);
    if (!failure_.empty()) {
      return;
    }
    if (script < scripts_.size()) {
      const bool is_last = event + 1 == scripts_[script].size();
      AddressWorld next = world;
      const TargetId id = script + 1;
      next.play(id, scripts_[script][event]);
      play(next, is_last ? script + 1 : script, is_last ? 0 : event + 1, may_wait,
           order + " " + std::to_string(id) + name(scripts_[script][event]));
    }
    for (TargetId id = 1; id <= world.lives(); ++id) {
      if (!world.life(id).held_back.empty()) {
        AddressWorld next = world;
        next.deliver(id);
        play(next, script, event, may_wait, order + " " + std::to_string(id) + "delivered");
      }
    }
    if (may_wait && !order.empty()) {
      AddressWorld next = world;
      next.advance(kWaitTime, false);
      play(next, script, event, false, order + " heartbeats-missing");
    }
  }

  void check(const AddressWorld& world, const std::string& order) {
    if (!failure_.empty()) {
      return;
    }
    failure_ = Balancers(world).check();
    if (failure_.empty() && world.announcing() != 0) {
      AddressWorld later = world;
      later.advance(kWaitTime, true);
      Balancers balancers(later);
      failure_ = balancers.check_decided();
      failure_ = failure_.empty() ? balancers.check() : failure_;
    }
    if (!failure_.empty()) {
      failure_ += ":" + order;
    }
  }

  std::vector<Script> scripts_;
  std::size_t count_ = 0;
  std::string failure_;
};

}  // namespace

TEST_SUITE("address_orders") {
  TEST_CASE("two targets at an address: each is served while it runs, in every order") {
    // Guards against taking a running target for one whose address another has, and the reverse.
    std::size_t orders = 0;
    for (const Script& first : scripts(true, false)) {
      for (const Script& second : scripts(true, true)) {
        for (const bool has_clients : {false, true}) {
          const Orders result({first, second}, has_clients);
          orders += result.count();
          CHECK_MESSAGE(result.failure().empty(), result.failure());
        }
      }
    }
    MESSAGE("orders of two targets: " << orders);
  }

  TEST_CASE("three targets at an address: each is served while it runs, in every order") {
    std::size_t orders = 0;
    for (const Script& first : scripts(false, false)) {
      for (const Script& second : scripts(false, false)) {
        for (const Script& third : scripts(false, true)) {
          const Orders result({first, second, third});
          orders += result.count();
          CHECK_MESSAGE(result.failure().empty(), result.failure());
        }
      }
    }
    MESSAGE("orders of three targets: " << orders);
  }
}

}  // namespace gorsevalve
