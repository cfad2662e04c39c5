/// All orders of events of targets that have one address in turn, with cuts of the one that runs. A
/// cut separates it from the balancers, from the leader or from both, and begins and ends at each
/// step of the other events. During the cut, balancers with packets for the target find it
/// unreachable; afterwards packets of flows that are open there arrive at all of them.
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

/// A disruption of the target or of its links ends open flows legitimately until this time has
/// passed since.
constexpr seconds kContactTime{4};
constexpr milliseconds kStep{100};
/// Long enough for heartbeats to time out during the cut.
constexpr milliseconds kLongCut{5500};
/// Packets of a client without an answer, from its request on.
constexpr milliseconds kRetransmissions[] = {milliseconds(0), milliseconds(200), milliseconds(600),
                                             milliseconds(1400)};
constexpr milliseconds kRequestTime{2000};

struct Cut {
  const char* name = "";
  bool from_balancers = false;
  bool from_leader = false;
  /// Probes are refused in place of lost.
  bool is_refused = false;
  /// A new leader is elected during the cut.
  bool has_election = false;
  Duration time{0};
};

/// Balancers that learn of the targets and of the cut in different ways.
class CutBalancers {
 public:
  explicit CutBalancers(const AddressWorld& world) : now_(world.now()) {
    for (FlowSteering* steering : all()) {
      steering->adopt(world.state(), now_);
      steering->confirm(now_ - seconds(5));
    }
    applied_ = world.revisions().size();
  }

  /// Applies what was committed and steps the probes up to the time of the world.
  void catch_up(const AddressWorld& world, const Cut* cut) {
    for (; now_ < world.now(); now_ += TargetReachability::kStepInterval) {
      apply_until(world, now_);
      for (FlowSteering* steering : all()) {
        step(*steering, world, cut);
      }
    }
    apply_until(world, world.now());
  }

  /// Clients send requests on flows at all targets of the address, through balancers that saw the
  /// state from the beginning.
  void request_early(const AddressWorld& world, Duration since) {
    request(with_flows_, world, since);
    request(with_lost_updates_, world, since);
  }
  /// The same through balancers that had no packets for the targets before.
  void request_late(const AddressWorld& world, Duration since) {
    request(without_flows_, world, since);
    request(started_in_cut_, world, since);
  }
  /// One balancer starts, and one adopts the whole state in place of updates that it missed.
  void adopt_snapshots(const AddressWorld& world) {
    started_in_cut_ = FlowSteering(9);
    started_in_cut_.adopt(world.state(), now_);
    started_in_cut_.confirm(now_ - seconds(5));
    with_lost_updates_.adopt(world.state(), now_);
  }

  /// Returns what is wrong, or an empty string. Packets arrive at copies of the balancers.
  [[nodiscard]] std::string check(const AddressWorld& world, bool is_cut_over) const {
    for (const FlowSteering& steering :
         {with_flows_, without_flows_, started_in_cut_, with_lost_updates_}) {
      for (TargetId id = 1; id <= world.lives(); ++id) {
        if (!world.is_registered(id)) {
          continue;
        }
        FlowSteering asked = steering;
        const SteeringDecision decision = asked.on_packet(world.packet_of(id, 9), now_);
        if (decision.target != nullptr && decision.target->id != id) {
          return "a packet for a target goes to another one";
        }
        const bool is_forwarded = decision.action == SteeringAction::kForward;
        if (world.life(id).is_running && is_cut_over && !is_forwarded) {
          return "a flow of a running target is reset after the cut";
        }
      }
    }
    return {};
  }

 private:
  std::vector<FlowSteering*> all() {
    return {&with_flows_, &without_flows_, &started_in_cut_, &with_lost_updates_};
  }

  void apply_until(const AddressWorld& world, Instant time) {
    const auto& revisions = world.revisions();
    for (; applied_ < revisions.size() && revisions[applied_].at <= time; ++applied_) {
      for (FlowSteering* steering : all()) {
        steering->apply(revisions[applied_].delta, now_);
      }
    }
  }

  void step(FlowSteering& steering, const AddressWorld& world, const Cut* cut) {
    const bool is_cut = cut != nullptr && cut->from_balancers;
    for (const auto& probe : steering.take_probes(now_)) {
      const bool is_reference = probe.address == kReferenceAddress;
      if (is_reference || (world.running() != 0 && !is_cut)) {
        steering.on_probe_answer(probe.number, ProbeAnswer::kAccepted, now_);
      } else if (world.running() == 0 || cut->is_refused) {
        steering.on_probe_answer(probe.number, ProbeAnswer::kRefused, now_);
      }
    }
    static_cast<void>(steering.evaluate_reachability(now_));
  }

  void request(FlowSteering& steering, const AddressWorld& world, Duration since) {
    if (std::find(std::begin(kRetransmissions), std::end(kRetransmissions), since) ==
        std::end(kRetransmissions)) {
      return;
    }
    // The reference answers meanwhile.
    ClientPacket reference = world.packet_of(kReference, 3);
    steering.on_packet(reference, now_ - milliseconds(20));
    reference.acknowledged = 500 + static_cast<std::uint32_t>(since / milliseconds(1));
    steering.on_packet(reference, now_);
    for (TargetId id = 1; id <= world.lives(); ++id) {
      if (world.is_registered(id)) {
        steering.on_packet(world.packet_of(id, 4), now_);
      }
    }
  }

  Instant now_;
  std::size_t applied_ = 0;
  FlowSteering with_flows_{1};
  FlowSteering without_flows_{2};
  FlowSteering started_in_cut_{3};
  FlowSteering with_lost_updates_{4};
};

/// The targets, the balancers, and the cut.
class CutWorld {
 public:
  CutWorld(std::size_t lives, bool has_clients) : world_(lives, has_clients), balancers_(world_) {}

  [[nodiscard]] const AddressWorld& world() const { return world_; }
  [[nodiscard]] bool is_cut() const { return cut_ != nullptr; }

  void play(TargetId id, Event event) {
    world_.play(id, event);
    if (event == Event::kEnd) {
      cut_ = nullptr;
      world_.hear_all();
    }
    balancers_.catch_up(world_, cut_);
  }
  void deliver(TargetId id) {
    world_.deliver(id);
    balancers_.catch_up(world_, cut_);
  }
  void advance(Duration time) {
    world_.advance(time, true);
    balancers_.catch_up(world_, cut_);
  }

  void begin_cut(const Cut& cut) {
    cut_ = &cut;
    if (cut.from_leader) {
      world_.cut_from_leader(world_.running());
    }
    for (Duration since{0}; since < kRequestTime; since += kStep) {
      balancers_.request_early(world_, since);
      advance(kStep);
    }
  }
  void end_cut() {
    advance(cut_->time);
    balancers_.adopt_snapshots(world_);
    for (Duration since{0}; since < kRequestTime; since += kStep) {
      balancers_.request_late(world_, since);
      advance(kStep);
    }
    if (cut_->has_election) {
      world_.elect_leader();
    }
    cut_ = nullptr;
    world_.hear_all();
    healed_at_ = world_.now();
  }

  /// Returns what is wrong, or an empty string.
  [[nodiscard]] std::string check() const {
    CutWorld later = *this;
    const Duration since = world_.now() - healed_at_.value_or(world_.now());
    if (healed_at_ && since < kContactTime) {
      later.advance(kContactTime - since);
    }
    return later.balancers_.check(later.world_, !is_cut());
  }

 private:
  AddressWorld world_;
  CutBalancers balancers_;
  const Cut* cut_ = nullptr;
  std::optional<Instant> healed_at_;
};

/// Plays every order of the scripts' events, deliveries of what was held back, and a number of
/// cuts.
class CutOrders {
 public:
  CutOrders(std::vector<Script> scripts, const Cut& cut, int cuts, bool has_clients)
      : scripts_(std::move(scripts)), cut_(cut) {
    play(CutWorld(scripts_.size(), has_clients), 0, 0, cuts, {});
  }

  [[nodiscard]] std::size_t count() const { return count_; }
  /// The first order that failed, with what was wrong; empty if none did.
  [[nodiscard]] const std::string& failure() const { return failure_; }

 private:
  void play(const CutWorld& world, std::size_t script, std::size_t event, int cuts_left,
            const std::string& order) {
    ++count_;
    if (const std::string error = world.check(); failure_.empty() && !error.empty()) {
      failure_ = std::string(cut_.name) + ": " + error + ":" + order;
    }
    if (!failure_.empty()) {
      return;
    }
    if (script < scripts_.size()) {
      const bool is_last = event + 1 == scripts_[script].size();
      CutWorld next = world;
      const TargetId id = script + 1;
      next.play(id, scripts_[script][event]);
      play(next, is_last ? script + 1 : script, is_last ? 0 : event + 1, cuts_left,
           order + " " + std::to_string(id) + name(scripts_[script][event]));
    }
    for (TargetId id = 1; id <= world.world().lives(); ++id) {
      if (!world.world().life(id).held_back.empty()) {
        CutWorld next = world;
        next.deliver(id);
        play(next, script, event, cuts_left, order + " " + std::to_string(id) + "delivered");
      }
    }
    if (cuts_left > 0 && !world.is_cut() && world.world().running() != 0) {
      CutWorld next = world;
      next.begin_cut(cut_);
      play(next, script, event, cuts_left - 1, order + " cut");
    }
    if (world.is_cut()) {
      CutWorld next = world;
      next.end_cut();
      play(next, script, event, cuts_left, order + " healed");
    }
  }

  std::vector<Script> scripts_;
  const Cut& cut_;
  std::size_t count_ = 0;
  std::string failure_;
};

const Cut kCuts[] = {
    {"balancers", true, false, false, false, kLongCut},
    {"balancers, short", true, false, false, false, Duration(0)},
    {"balancers, refused", true, false, true, false, kLongCut},
    {"leader", false, true, false, false, kLongCut},
    {"all", true, true, false, false, kLongCut},
    {"all, short", true, true, false, false, Duration(0)},
    {"all, refused", true, true, true, false, kLongCut},
    {"all, with an election", true, true, false, true, kLongCut},
};

/// Targets of which each crashes but the last one. Each may start unheard.
std::vector<std::vector<Script>> short_scripts(std::size_t targets) {
  std::vector<std::vector<Script>> all = {{}};
  for (std::size_t i = 1; i <= targets; ++i) {
    std::vector<std::vector<Script>> longer;
    for (const std::vector<Script>& earlier : all) {
      for (const Event start : {Event::kRegister, Event::kStartUnheard}) {
        longer.push_back(earlier);
        longer.back().push_back(i < targets ? Script{start, Event::kEnd} : Script{start});
      }
    }
    all = std::move(longer);
  }
  return all;
}

/// Plays all orders of the scripts with each kind of cut, and returns their number.
std::size_t check_orders(const std::vector<Script>& scripts, int cuts) {
  std::size_t orders = 0;
  for (const Cut& cut : kCuts) {
    for (const bool has_clients : {false, true}) {
      const CutOrders result(scripts, cut, cuts, has_clients);
      orders += result.count();
      CHECK_MESSAGE(result.failure().empty(), result.failure());
    }
  }
  return orders;
}

}  // namespace

TEST_SUITE("address_cuts") {
  TEST_CASE("two targets at an address: flows of a running one last after a cut, in every order") {
    // Guards against resetting flows of a target that was cut off, because an earlier target is
    // still registered at its address.
    std::size_t orders = 0;
    for (const Script& first : scripts(false, false)) {
      for (const Script& second : scripts(false, true)) {
        orders += check_orders({first, second}, 1);
      }
    }
    MESSAGE("orders of two targets with a cut: " << orders);
  }

  TEST_CASE("two cuts, and an address that is given on twice, in every order") {
    // Guards against the same with evidence that an earlier cut or an earlier target left behind.
    std::size_t orders = 0;
    for (const std::vector<Script>& two : short_scripts(2)) {
      orders += check_orders(two, 2);
    }
    for (const std::vector<Script>& three : short_scripts(3)) {
      orders += check_orders(three, 1);
    }
    MESSAGE("orders with two cuts or three targets: " << orders);
  }
}

}  // namespace gorsevalve
