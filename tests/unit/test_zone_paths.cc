#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

#include "core/steering/flow_steering.h"
#include "core/steering/zone_paths.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr TargetId kTargetsOfZone = 8;
const std::vector<std::string> kZones = {"near", "far", "farther"};

/// Targets 1 to 8 are in zone near, 9 to 16 in far, 17 to 24 in farther.
std::string zone_of(TargetId id) { return kZones[(id - 1) / kTargetsOfZone]; }

RegisteredTarget make_target(TargetId id) {
  RegisteredTarget target;
  target.id = id;
  target.token = static_cast<FlowToken>(100 + id);
  target.pool = "alpha";
  target.address = {10, static_cast<std::uint16_t>(8000 + id)};
  target.zone = zone_of(id);
  target.slots = 2;
  return target;
}

/// How a target reacts to probes.
enum class Behaviour { kAccepts, kRefuses, kSilent };

/// Targets in three zones that answer probes after a round trip, driven by the steps of a
/// balancer's event loop.
class ProbedZones {
 public:
  ProbedZones() {
    for (TargetId id = 1; id <= kZones.size() * kTargetsOfZone; ++id) {
      paths.on_target(make_target(id));
      answered.push_back(id);
    }
  }

  void set_zone(const std::string& zone, Behaviour reaction) {
    for (const TargetId id : answered) {
      behaviour[id] = zone_of(id) == zone ? reaction : behaviour[id];
    }
  }

  /// Runs the event loop for `time` and returns the detected changes.
  std::vector<ZonePathChange> run(Duration time) {
    std::vector<ZonePathChange> all;
    for (const Instant end = now + time; now < end; now += milliseconds(5)) {
      if (now < stands_still_until) {
        continue;
      }
      // An event loop that wakes up may run due timers before it reads received packets.
      if (now >= next_step_) {
        next_step_ = now + TargetReachability::kStepInterval;
        send_probes();
        const auto changes = paths.detect_changes(is_link_congested, now);
        all.insert(all.end(), changes.begin(), changes.end());
      }
      deliver_answers();
    }
    return all;
  }

  void suspect(TargetId target) { paths.suspect(target, now, answered, now); }

  ZonePaths paths{"near"};
  std::map<TargetId, Behaviour> behaviour;
  std::vector<TargetId> answered;
  std::map<std::string, int> probes;
  Duration round_trip = milliseconds(1);
  Instant stands_still_until;
  bool is_link_congested = false;
  bool sends = true;
  Instant now = kStart;

 private:
  struct Answer {
    std::uint64_t number = 0;
    ProbeAnswer answer = ProbeAnswer::kAccepted;
    Instant at;
  };

  void send_probes() {
    for (const auto& probe : paths.take_probes(now)) {
      ++probes[probe.target < 100 ? zone_of(probe.target) : "far"];
      if (!sends) {
        paths.on_not_sent(probe.number, now);
      } else if (behaviour[probe.target] != Behaviour::kSilent) {
        const bool accepts = behaviour[probe.target] == Behaviour::kAccepts;
        answers_.push_back({probe.number, accepts ? ProbeAnswer::kAccepted : ProbeAnswer::kRefused,
                            now + round_trip});
      }
    }
  }

  void deliver_answers() {
    std::erase_if(answers_, [&](const Answer& answer) {
      const bool is_due = answer.at <= now;
      if (is_due) {
        paths.on_answer(answer.number, answer.answer, now);
      }
      return is_due;
    });
  }

  Instant next_step_ = kStart;
  std::vector<Answer> answers_;
};

}  // namespace

TEST_SUITE("zone_paths") {
  TEST_CASE("a zone of which half of the targets fail at once does not count as cut") {
    std::mt19937_64 random(20261202);
    constexpr TargetId kMembers = 50;
    for (int check_number = 0; check_number < 500; ++check_number) {
      ProbedZones zones;
      for (TargetId id = 100; id < 100 + kMembers; ++id) {
        RegisteredTarget target = make_target(9);
        target.id = id;
        zones.paths.on_target(target);
        zones.behaviour[id] = random() % 2 == 0 ? Behaviour::kSilent : Behaviour::kAccepts;
      }
      for (TargetId id = 9; id <= 2 * kTargetsOfZone; ++id) {
        zones.behaviour[id] = random() % 2 == 0 ? Behaviour::kSilent : Behaviour::kAccepts;
      }
      zones.behaviour[9] = Behaviour::kSilent;
      zones.suspect(9);
      CHECK(zones.run(milliseconds(600)).empty());
    }
  }

  TEST_CASE("a zone that becomes silent is detected as cut within 150 ms of the suspicion") {
    ProbedZones zones;
    zones.set_zone("far", Behaviour::kSilent);
    zones.suspect(9);
    CHECK(zones.paths.is_checking());
    const auto changes = zones.run(milliseconds(150));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].zone == "far");
    CHECK(changes[0].is_cut);
    CHECK(changes[0].targets == kTargetsOfZone);
    // Three in the first round, all of them in two more.
    CHECK(changes[0].probes == 3 + 2 * kTargetsOfZone);
    CHECK(changes[0].suspected == 9);
    CHECK(zones.paths.is_cut(TargetId{10}));
    CHECK(zones.paths.is_cut("far"));
    CHECK_FALSE(zones.paths.is_cut(TargetId{1}));
    CHECK_FALSE(zones.paths.is_cut(TargetId{17}));
    CHECK(zones.paths.cut_count() == 1);
  }

  TEST_CASE("refusals count like silence, and one accepted probe ends the check") {
    ProbedZones zones;
    zones.set_zone("far", Behaviour::kRefuses);
    SUBCASE("all targets refuse") {
      zones.suspect(9);
      const auto changes = zones.run(milliseconds(150));
      REQUIRE(changes.size() == 1);
      CHECK(changes[0].refusals == 3 + 2 * kTargetsOfZone);
    }
    SUBCASE("one target accepts: a host or a rack failed, not the path") {
      zones.behaviour[12] = Behaviour::kAccepts;
      zones.suspect(9);
      CHECK(zones.run(milliseconds(500)).empty());
      CHECK_FALSE(zones.paths.is_checking());
    }
  }

  TEST_CASE("two zones that are cut at once are both detected from one suspicion") {
    ProbedZones zones;
    zones.set_zone("far", Behaviour::kSilent);
    zones.set_zone("farther", Behaviour::kSilent);
    zones.suspect(9);
    const auto changes = zones.run(milliseconds(250));
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].zone == "far");
    CHECK(changes[1].zone == "farther");
    CHECK(zones.paths.cut_count() == 2);
  }

  TEST_CASE("no change is detected where silence proves nothing") {
    ProbedZones zones;
    zones.set_zone("far", Behaviour::kSilent);
    SUBCASE("the local zone is silent as well") {
      zones.set_zone("near", Behaviour::kSilent);
      zones.set_zone("farther", Behaviour::kSilent);
    }
    SUBCASE("one of two local targets is silent: the local link may lose as much") {
      zones.behaviour[2] = Behaviour::kSilent;
    }
    SUBCASE("the local link is congested") { zones.is_link_congested = true; }
    SUBCASE("probes cannot be sent") { zones.sends = false; }
    SUBCASE("no local target answered recently") {
      std::erase_if(zones.answered, [](TargetId id) { return id <= kTargetsOfZone; });
    }
    zones.suspect(9);
    CHECK(zones.run(seconds(3)).empty());
    CHECK_FALSE(zones.paths.is_checking());
    CHECK(zones.paths.cut_count() == 0);
  }

  TEST_CASE("a balancer that is paused between its probes detects no cut") {
    for (int pause_at = 0; pause_at < 200; pause_at += 5) {
      for (const int pause : {40, 70, 110, 2000}) {
        ProbedZones zones;
        // Longer than the round trip to local targets, as between regions.
        zones.round_trip = milliseconds(24);
        zones.suspect(9);
        auto changes = zones.run(milliseconds(pause_at));
        zones.stands_still_until = zones.now + milliseconds(pause);
        const auto later = zones.run(milliseconds(pause + 500));
        changes.insert(changes.end(), later.begin(), later.end());
        CHECK_MESSAGE(changes.empty(), "pause of " << pause << " ms after " << pause_at << " ms");
      }
    }
  }

  TEST_CASE("a reply to a packet sent since the suspicion ends a check, an earlier one does not") {
    ProbedZones zones;
    zones.set_zone("far", Behaviour::kSilent);
    const Instant sent_at = zones.now;
    zones.suspect(9);
    zones.run(milliseconds(40));
    zones.paths.on_progress(10, sent_at - milliseconds(1), zones.now);
    CHECK(zones.paths.is_checking());
    zones.paths.on_progress(10, sent_at + milliseconds(1), zones.now);
    CHECK_FALSE(zones.paths.is_checking());
    CHECK(zones.run(milliseconds(150)).empty());
  }

  TEST_CASE("no check for the local zone, for a zone of one target, or without a local zone") {
    ProbedZones zones;
    CHECK_FALSE(zones.paths.may_check(1, zones.now));
    RegisteredTarget single_target = make_target(1);
    single_target.id = 90;
    single_target.zone = "island";
    zones.paths.on_target(single_target);
    zones.suspect(90);
    CHECK_FALSE(zones.paths.is_checking());
    ZonePaths paths_without_zone{""};
    paths_without_zone.on_target(make_target(9));
    CHECK_FALSE(paths_without_zone.may_check(9, kStart));
  }

  TEST_CASE("answered checks become less frequent until a quiet time resets the backoff") {
    ProbedZones zones;
    for (int i = 0; i < 400; ++i) {
      zones.suspect(9);
      zones.run(milliseconds(25));
    }
    // 10 s with backoffs of 0.25, 0.5 and then 1 s, and three probes per check.
    CHECK(zones.probes["far"] <= 12 * 3);
    zones.run(seconds(13));
    zones.suspect(9);
    zones.run(milliseconds(50));
    zones.run(milliseconds(250));
    CHECK(zones.paths.may_check(9, zones.now));
  }

  TEST_CASE("if no local target answers, checks stay small and become less frequent") {
    ProbedZones zones;
    for (const std::string& zone : kZones) {
      zones.set_zone(zone, Behaviour::kSilent);
    }
    for (int i = 0; i < 400; ++i) {
      zones.suspect(9);
      CHECK(zones.run(milliseconds(25)).empty());
    }
    // 10 s with backoffs of 0.1 to 3.2 s, and per check three probes there and one local probe.
    CHECK(zones.probes["far"] <= 8 * 3);
    CHECK(zones.probes["near"] <= 8);
    CHECK(zones.probes["farther"] == 0);
  }

  TEST_CASE("a path recovers when several targets answer in two rounds, and load ramps up") {
    ProbedZones zones;
    zones.set_zone("far", Behaviour::kSilent);
    zones.suspect(9);
    REQUIRE(zones.run(milliseconds(150)).size() == 1);
    SUBCASE("one target that answers intermittently is no recovery") {
      for (int check_number = 0; check_number < 10; ++check_number) {
        zones.behaviour[11] = Behaviour::kAccepts;
        CHECK(zones.run(milliseconds(300)).empty());
        zones.behaviour[11] = Behaviour::kSilent;
        CHECK(zones.run(milliseconds(700)).empty());
      }
      CHECK(zones.paths.is_cut(TargetId{9}));
    }
    SUBCASE("one target that answers continuously is a recovery: the others may be gone") {
      zones.behaviour[11] = Behaviour::kAccepts;
      const auto changes = zones.run(seconds(3));
      REQUIRE(changes.size() == 1);
      CHECK_FALSE(changes[0].is_cut);
      CHECK_FALSE(zones.paths.is_cut(TargetId{9}));
    }
    SUBCASE("all targets answer again") {
      zones.run(seconds(2));
      zones.set_zone("far", Behaviour::kAccepts);
      const auto changes = zones.run(milliseconds(600));
      REQUIRE(changes.size() == 1);
      CHECK_FALSE(changes[0].is_cut);
      CHECK(changes[0].targets >= 3);
      CHECK_FALSE(zones.paths.is_cut(TargetId{9}));
      const auto admitted = [&] {
        int count = 0;
        for (std::uint64_t flow = 0; flow < 1000; ++flow) {
          count += zones.paths.admits(9, flow * 0x9E3779B97F4A7C15ULL, zones.now) ? 1 : 0;
        }
        return count;
      };
      const int first = admitted();
      zones.run(milliseconds(900));
      const int half = admitted();
      zones.run(milliseconds(1200));
      CHECK(first < 350);
      CHECK(half > first + 200);
      CHECK(half < 900);
      CHECK(admitted() == 1000);
    }
    SUBCASE("the path is cut again while load ramps up") {
      zones.set_zone("far", Behaviour::kAccepts);
      REQUIRE(zones.run(milliseconds(600)).size() == 1);
      zones.set_zone("far", Behaviour::kSilent);
      zones.suspect(9);
      REQUIRE(zones.run(milliseconds(150)).size() == 1);
      CHECK(zones.paths.cut_count() == 1);
      CHECK(zones.paths.admits(9, 0, zones.now));
    }
  }

  TEST_CASE("the number of zones is limited, and ended targets are removed") {
    ZonePaths paths{"near"};
    for (TargetId id = 1; id <= 3 * ZonePaths::kMaxZones; ++id) {
      RegisteredTarget target = make_target(1);
      target.id = id;
      target.zone = "z" + std::to_string(id);
      paths.on_target(target);
    }
    CHECK(paths.may_check(ZonePaths::kMaxZones, kStart));
    CHECK_FALSE(paths.may_check(ZonePaths::kMaxZones + 1, kStart));
    paths.on_removed(1);
    CHECK_FALSE(paths.may_check(1, kStart));
  }
}

}  // namespace gorsevalve
