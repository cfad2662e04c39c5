#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

#include "core/balancer/control_client.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

constexpr Endpoint kReplica{0x0A00C801, 7000};
constexpr Endpoint kOther{0x0A00C802, 7000};
constexpr Endpoint kThird{0x0A00C803, 7000};
constexpr Instant kStart{std::chrono::seconds(1000)};

class RecordingOutput : public ControlClientOutput {
 public:
  void send_control(const Endpoint& replica, const NodeMessage& message) override {
    if (const auto* heartbeat = std::get_if<NodeHeartbeat>(&message)) {
      heartbeats.push_back(*heartbeat);
      recipients.push_back(replica);
    }
  }
  void on_fleet(const FleetState& fleet, Instant /*now*/) override {
    revisions.push_back(fleet.revision);
  }
  void on_confirmed(Instant /*now*/) override { ++confirmed; }
  bool has_urgent_observations() override { return urgent; }
  std::vector<TargetStatistics> take_observations() override { return observations; }
  void on_target_health(const std::vector<TargetHealth>& target_health) override {
    reported_health = target_health;
  }
  void on_lease(Instant until) override { lease = until; }
  void on_removed(Instant /*now*/) override { ++removed; }
  void on_replica_timed_out(const Endpoint& /*replica*/) override { ++silent; }
  void on_updates_overdue(const Endpoint& /*replica*/, Revision /*revisions*/) override {
    ++overdue_updates;
  }

  std::vector<NodeHeartbeat> heartbeats;
  /// Destination of each heartbeat.
  std::vector<Endpoint> recipients;
  std::vector<Revision> revisions;
  std::vector<TargetStatistics> observations;
  std::vector<TargetHealth> reported_health;
  bool urgent = false;
  Instant lease;
  int confirmed = 0;
  int removed = 0;
  int silent = 0;
  int overdue_updates = 0;
};

Member make_self() { return {"b", "z", {0x0A00C901, 6000}, 42, MemberState::kActive}; }

/// Returns the state that follows `before` with other members.
FleetState next_members(FleetState before, const std::vector<Member>& members) {
  before.previous_members = before.members;
  before.members = members;
  before.members_revision = ++before.revision;
  ++before.members_epoch;
  return before;
}

FleetUpdate make_snapshot(const FleetState& fleet) {
  FleetUpdate update;
  update.is_snapshot = true;
  update.snapshot = fleet;
  update.digest = fleet_digest(fleet);
  return update;
}

FleetDelta members_delta(const FleetState& before, const MembersCommand& command) {
  FleetDelta delta;
  delta.base = before.revision;
  delta.revision = before.revision + 1;
  delta.members = command;
  return delta;
}

struct Client {
  RecordingOutput output;
  ControlClient client{make_self(), {kReplica}, {}, output};
};

/// A client that is not a member, with short intervals.
struct Observer {
  explicit Observer(std::vector<Endpoint> replicas, std::uint16_t port = 6000)
      : client({"b", "z", {0x0A00C901, port}, 42, MemberState::kObserver}, std::move(replicas), {},
               output) {
    client.set_timing({milliseconds(500), milliseconds(800), milliseconds(100)});
  }

  RecordingOutput output;
  ControlClient client;
};

HeartbeatReply current_reply(const NodeHeartbeat& heartbeat, Revision revision) {
  HeartbeatReply reply;
  reply.sequence = heartbeat.sequence;
  reply.is_current = true;
  reply.revision = revision;
  return reply;
}

HeartbeatReply stale_reply(const NodeHeartbeat& heartbeat, Revision revision) {
  HeartbeatReply reply = current_reply(heartbeat, revision);
  reply.is_current = false;
  return reply;
}

/// Runs an observer for about three seconds among replicas that are all current and report their
/// zones; the first one replies first. Returns the replica of its last heartbeat.
Endpoint run_until_replica_chosen(Observer& test, const std::map<Endpoint, std::string>& zones) {
  std::size_t replied = 0;
  Instant now = kStart;
  for (int step = 0; step < 6; ++step) {
    test.client.on_tick(0, now);
    for (; replied < test.output.recipients.size(); ++replied) {
      const Endpoint replica = test.output.recipients[replied];
      const auto zone = zones.find(replica);
      if (zone != zones.end()) {
        HeartbeatReply reply = current_reply(test.output.heartbeats[replied], 0);
        reply.zone = zone->second;
        test.client.on_message(replica, reply, now + milliseconds(1));
      }
    }
    now += milliseconds(600);
  }
  test.client.on_tick(0, now);
  return test.output.recipients.back();
}

}  // namespace

TEST_SUITE("control_client") {
  TEST_CASE("an older state never replaces a newer one") {
    Client test;
    const FleetState older = next_members({}, {make_self()});
    const FleetState newer = next_members(older, {make_self()});
    test.client.on_message(kReplica, make_snapshot(newer), kStart);
    test.client.on_message(kReplica, make_snapshot(older), kStart);
    CHECK(test.output.revisions == std::vector<Revision>{2});
    CHECK(test.client.fleet().revision == 2);
  }

  TEST_CASE("a snapshot whose digest does not match is rejected") {
    Client test;
    FleetUpdate update = make_snapshot(next_members({}, {make_self()}));
    ++update.digest;
    test.client.on_message(kReplica, update, kStart);
    CHECK(test.output.revisions.empty());
  }

  TEST_CASE("deltas that lead to another digest cause a request for a snapshot") {
    Observer test{{kReplica}};
    FleetState fleet;
    fleet.revision = 4;
    test.client.on_message(kReplica, make_snapshot(fleet), kStart);
    REQUIRE(test.output.revisions == std::vector<Revision>{4});
    FleetDelta delta;
    delta.base = 4;
    delta.revision = 5;
    delta.steering.emplace();
    FleetUpdate update;
    update.deltas.push_back(delta);
    update.digest = 1;
    test.client.on_message(kReplica, update, kStart);
    CHECK(test.output.revisions == std::vector<Revision>{4});
    test.client.on_tick(0, kStart + milliseconds(10));
    CHECK(test.output.heartbeats.back().revision == 0);
    // An older snapshot does not replace the applied state meanwhile.
    FleetState older;
    older.revision = 3;
    test.client.on_message(kReplica, make_snapshot(older), kStart);
    CHECK(test.output.revisions == std::vector<Revision>{4});
    fleet.revision = 5;
    test.client.on_message(kReplica, make_snapshot(fleet), kStart);
    CHECK(test.output.revisions == std::vector<Revision>{4, 5});
  }

  TEST_CASE("membership changes that arrive together are applied one by one") {
    Client test;
    FleetState fleet = next_members({}, {make_self()});
    test.client.on_message(kReplica, make_snapshot(fleet), kStart);
    FleetUpdate update;
    const Member other{"c", "z", {0x0A00C902, 6000}, 43, MemberState::kActive};
    update.deltas.push_back(members_delta(fleet, {{other}, {}}));
    apply_delta(fleet, update.deltas.back());
    update.deltas.push_back(members_delta(fleet, {{}, {other.address}}));
    apply_delta(fleet, update.deltas.back());
    update.digest = fleet_digest(fleet);
    test.client.on_message(kReplica, update, kStart);
    CHECK(test.output.revisions == std::vector<Revision>{1, 2, 3});
    CHECK(test.output.removed == 0);
  }

  TEST_CASE("a running process that was removed from the members rejoins as another member") {
    Client test;
    FleetState fleet = next_members({}, {make_self()});
    test.client.on_message(kReplica, make_snapshot(fleet), kStart);
    FleetUpdate update;
    update.deltas.push_back(members_delta(fleet, {{}, {make_self().address}}));
    apply_delta(fleet, update.deltas.back());
    update.digest = fleet_digest(fleet);
    test.client.on_message(kReplica, update, kStart);
    CHECK(test.output.removed == 1);
    test.client.rejoin(99);
    test.client.on_tick(0, kStart + std::chrono::seconds(1));
    CHECK(test.output.heartbeats.back().member.incarnation == 99);
  }

  TEST_CASE("a snapshot that skips memberships removes the member, too") {
    Client test;
    const FleetState first = next_members({}, {make_self()});
    test.client.on_message(kReplica, make_snapshot(first), kStart);
    const FleetState third = next_members(next_members(first, {}), {make_self()});
    test.client.on_message(kReplica, make_snapshot(third), kStart);
    CHECK(test.output.removed == 1);
  }

  TEST_CASE("a new member requests a lease at once; the lease starts when the request is sent") {
    Client test;
    test.client.on_message(kReplica, make_snapshot(next_members({}, {make_self()})), kStart);
    REQUIRE(test.output.heartbeats.size() == 1);
    const HeartbeatReply reply{test.output.heartbeats[0].sequence, 10000, false};
    test.client.on_message(kReplica, reply, kStart + std::chrono::seconds(3));
    CHECK(test.output.lease == kStart + std::chrono::seconds(10));
  }

  TEST_CASE(
      "a process that is admitted and removed before it gets an update rejoins as another member") {
    // Guards against a process that waits forever because its incarnation was removed before it
    // received a state in which it was a member.
    Client test;
    const FleetState without = next_members({}, {});
    test.client.on_message(kReplica, make_snapshot(without), kStart);
    test.client.on_tick(0, kStart);
    test.client.on_tick(0, kStart + std::chrono::seconds(19));
    CHECK(test.output.removed == 0);
    test.client.on_tick(0, kStart + std::chrono::seconds(21));
    CHECK(test.output.removed == 1);
    test.client.rejoin(43);
    test.client.on_tick(0, kStart + std::chrono::seconds(22));
    CHECK(test.output.removed == 1);
  }

  TEST_CASE("a starting observer sends frequent heartbeats to all replicas until one is current") {
    // Guards against a slow start when the first of the replicas is unreachable.
    Observer test{{kReplica, kOther, kThird}};
    test.client.on_tick(0, kStart);
    CHECK(test.output.recipients == std::vector<Endpoint>{kReplica, kOther, kThird});
    // No replica is known to have a state yet, so none is asked for updates.
    const auto update_requests =
        std::count_if(test.output.heartbeats.begin(), test.output.heartbeats.end(),
                      [](const auto& sent) { return sent.wants_update; });
    CHECK(update_requests == 0);
    test.client.on_tick(0, kStart + milliseconds(110));
    CHECK(test.output.recipients.size() == 6);
    // The current replica gets the next heartbeat, and is asked for its state.
    test.client.on_message(kOther, current_reply(test.output.heartbeats[4], 3),
                           kStart + milliseconds(115));
    REQUIRE(test.output.recipients.size() == 7);
    CHECK(test.output.recipients.back() == kOther);
    CHECK(test.output.heartbeats.back().wants_update);
    // Its revision is newer than the applied one: not confirmed yet.
    CHECK_FALSE(test.client.has_been_current());
    FleetState state;
    state.revision = 3;
    test.client.on_message(kOther, make_snapshot(state), kStart + milliseconds(116));
    // The revision that the current replica reported is applied, which confirms it once.
    CHECK(test.client.has_been_current());
    CHECK(test.output.confirmed == 1);
    CHECK(test.output.heartbeats.size() == 7);
    // From here on the usual interval applies, and apart from one probe only the chosen replica
    // gets heartbeats.
    test.client.on_tick(0, kStart + milliseconds(250));
    test.client.on_tick(0, kStart + milliseconds(400));
    CHECK(std::count(test.output.recipients.begin() + 7, test.output.recipients.end(), kOther) ==
          1);
    CHECK(std::count(test.output.recipients.begin() + 7, test.output.recipients.end(), kThird) <=
          1);
    test.client.on_message(kOther, current_reply(test.output.heartbeats.back(), 3),
                           kStart + milliseconds(405));
    CHECK(test.output.confirmed == 1);
  }

  TEST_CASE("an observer applies the state of a replica without a leader and continues to search") {
    Observer test{{kReplica, kOther}};
    test.client.on_tick(0, kStart);
    HeartbeatReply stale = stale_reply(test.output.heartbeats[0], 2);
    test.client.on_message(kReplica, stale, kStart + milliseconds(5));
    CHECK(test.output.recipients.back() == kReplica);
    CHECK(test.output.heartbeats.back().wants_update);
    FleetState state;
    state.revision = 2;
    test.client.on_message(kReplica, make_snapshot(state), kStart + milliseconds(6));
    CHECK(test.client.fleet().revision == 2);
    CHECK_FALSE(test.client.has_been_current());
    test.client.on_tick(0, kStart + milliseconds(110));
    CHECK(test.output.recipients.back() == kOther);
  }

  TEST_CASE("a starting observer requests the state of one replica at a time") {
    // Guards against snapshot requests to all replicas at once, which delay their election.
    Observer test{{kReplica, kOther, kThird}};
    test.client.on_tick(0, kStart);
    const std::vector<NodeHeartbeat> first = test.output.heartbeats;
    const auto snapshot_requests = [&test] {
      return std::count_if(test.output.heartbeats.begin(), test.output.heartbeats.end(),
                           [](const auto& sent) { return sent.wants_update; });
    };
    for (std::size_t i = 0; i < first.size(); ++i) {
      HeartbeatReply reply = stale_reply(first[i], 2);
      test.client.on_message(test.output.recipients[i], reply, kStart + milliseconds(5));
    }
    CHECK(snapshot_requests() == 1);
    // The update does not arrive: after a while another replica is asked.
    test.client.on_tick(0, kStart + milliseconds(480));
    REQUIRE(test.output.heartbeats.size() == 7);
    HeartbeatReply later = stale_reply(test.output.heartbeats[5], 2);
    test.client.on_message(test.output.recipients[5], later, kStart + milliseconds(485));
    CHECK(snapshot_requests() == 2);
  }

  TEST_CASE("a replica that is not current gets no further heartbeats for a while") {
    Observer test{{kReplica, kOther}};
    test.client.on_tick(0, kStart);
    HeartbeatReply reply = stale_reply(test.output.heartbeats[0], 0);
    test.client.on_message(kReplica, reply, kStart + milliseconds(5));
    for (int step = 1; step <= 4; ++step) {
      test.client.on_tick(0, kStart + milliseconds(101) * step);
    }
    CHECK(std::count(test.output.recipients.begin(), test.output.recipients.end(), kReplica) == 1);
    // The other replica may be unreachable: it gets a heartbeat at each interval.
    CHECK(std::count(test.output.recipients.begin(), test.output.recipients.end(), kOther) == 5);
    // The later reply with the sequence number of the same heartbeat counts.
    reply.is_current = true;
    test.client.on_message(kReplica, reply, kStart + milliseconds(430));
    CHECK(test.client.has_been_current());
    CHECK(test.output.recipients.back() == kReplica);
  }

  TEST_CASE("an observer searches again when its replica does not reply or is not current") {
    Observer test{{kReplica, kOther}};
    test.client.on_tick(0, kStart);
    test.client.on_message(kReplica, current_reply(test.output.heartbeats[0], 0), kStart);
    REQUIRE(test.client.has_been_current());
    SUBCASE("does not reply") {
      test.client.on_tick(0, kStart + milliseconds(900));
      CHECK(test.output.silent == 1);
    }
    SUBCASE("not current") {
      HeartbeatReply stale = stale_reply(test.output.heartbeats.back(), 0);
      test.client.on_message(kReplica, stale, kStart + milliseconds(5));
      test.client.on_tick(0, kStart + milliseconds(600));
      CHECK(test.output.silent == 0);
    }
    const std::vector<Endpoint> last(test.output.recipients.end() - 2,
                                     test.output.recipients.end());
    CHECK(last == std::vector<Endpoint>{kReplica, kOther});
  }

  TEST_CASE("late replies confirm nothing: the observer searches for another replica") {
    // Models a long queue on the return path: replies keep arriving, but each is two seconds late.
    Observer test{{kReplica, kOther}};
    test.client.on_tick(0, kStart);
    test.client.on_message(kReplica, current_reply(test.output.heartbeats[0], 0), kStart);
    constexpr Duration kQueue = std::chrono::seconds(2);
    std::size_t replied = test.output.heartbeats.size();
    std::vector<Instant> sent_at(replied, kStart);
    for (int step = 1; step <= 100 && test.output.overdue_updates == 0; ++step) {
      const Instant now = kStart + milliseconds(20) * step;
      for (; replied < sent_at.size() && sent_at[replied] + kQueue <= now; ++replied) {
        test.client.on_message(kReplica, current_reply(test.output.heartbeats[replied], 0), now);
      }
      // Late replies look like timely ones when only their arrival is considered.
      test.client.on_message(kReplica, current_reply(test.output.heartbeats[0], 0), now);
      test.client.on_tick(0, now);
      sent_at.resize(test.output.heartbeats.size(), now);
    }
    CHECK(test.output.overdue_updates == 1);
    CHECK(test.output.silent == 0);
    CHECK_FALSE(test.client.replica());
  }

  TEST_CASE("updates and target health do not show that the replica receives heartbeats") {
    Observer test{{kReplica, kOther}};
    test.client.on_tick(0, kStart);
    test.client.on_message(kReplica, current_reply(test.output.heartbeats[0], 0), kStart);
    for (std::uint64_t step = 1; step <= 5; ++step) {
      const Instant now = kStart + milliseconds(200) * step;
      FleetState fleet;
      fleet.revision = step;
      test.client.on_message(kReplica, make_snapshot(fleet), now);
      test.client.on_message(kReplica, TargetHealthUpdate{step, {}}, now);
      test.client.on_tick(0, now);
    }
    CHECK(test.output.silent == 1);
    CHECK_FALSE(test.client.replica());
  }

  TEST_CASE("a reply to an earlier process at the same address is ignored") {
    Observer before{{kReplica}};
    before.client.on_tick(0, kStart);
    RecordingOutput output;
    ControlClient after({"b", "z", {0x0A00C901, 6000}, 43, MemberState::kObserver}, {kReplica}, {},
                        output);
    after.on_tick(0, kStart);
    after.on_message(kReplica, current_reply(before.output.heartbeats[0], 0), kStart);
    CHECK_FALSE(after.has_been_current());
    after.on_message(kReplica, current_reply(output.heartbeats[0], 0), kStart);
    CHECK(after.has_been_current());
  }

  TEST_CASE("observers spread over the replicas, whichever replied first") {
    std::map<Endpoint, int> chosen;
    for (std::uint16_t port = 1; port <= 90; ++port) {
      Observer test{{kReplica, kOther, kThird}, port};
      ++chosen[run_until_replica_chosen(test, {{kReplica, ""}, {kOther, ""}, {kThird, ""}})];
    }
    for (const Endpoint& replica : {kReplica, kOther, kThird}) {
      CHECK(chosen[replica] >= 20);
    }
  }

  TEST_CASE("observers prefer replicas in their own zone, and spread over those") {
    std::map<Endpoint, int> chosen;
    for (std::uint16_t port = 1; port <= 90; ++port) {
      Observer test{{kReplica, kOther, kThird}, port};
      ++chosen[run_until_replica_chosen(test, {{kReplica, "y"}, {kOther, "z"}, {kThird, "z"}})];
    }
    CHECK(chosen[kReplica] == 0);
    CHECK(chosen[kOther] >= 30);
    CHECK(chosen[kThird] >= 30);
  }

  TEST_CASE(
      "heartbeats report target observations, urgent ones at once; replies carry target health") {
    Observer test{{kReplica}};
    test.client.on_tick(0, kStart);
    test.output.observations = {{7, 3}};
    test.client.on_message(kReplica, current_reply(test.output.heartbeats[0], 0), kStart);
    // Nothing is reported during a search.
    CHECK(test.output.heartbeats[0].observations.empty());
    REQUIRE(test.output.heartbeats.size() == 2);
    CHECK(test.output.heartbeats[1].observations == test.output.observations);
    test.client.on_tick(0, kStart + milliseconds(510));
    const std::size_t before = test.output.heartbeats.size();
    test.client.on_tick(0, kStart + milliseconds(600));
    CHECK(test.output.heartbeats.size() == before);
    test.output.urgent = true;
    test.client.on_tick(0, kStart + milliseconds(700));
    CHECK(test.output.heartbeats.size() == before + 1);
    HeartbeatReply reply = current_reply(test.output.heartbeats.back(), 0);
    reply.health = TargetHealthUpdate{9, {{7, 130, true}}};
    test.client.on_message(kReplica, reply, kStart + milliseconds(705));
    CHECK(test.output.reported_health == reply.health->targets);
    // Pushed updates count too, and heartbeats carry the version of the last one.
    test.client.on_message(kReplica, TargetHealthUpdate{10, {}}, kStart + milliseconds(710));
    CHECK(test.output.reported_health.empty());
    test.client.on_tick(0, kStart + milliseconds(1300));
    CHECK(test.output.heartbeats.back().health_version == 10);
  }

  TEST_CASE("a replica that does not reply does not keep an observer from its preferred one") {
    Observer test{{kReplica, kOther, kThird}};
    CHECK(run_until_replica_chosen(test, {{kReplica, "y"}, {kOther, "z"}}) == kOther);
  }

  TEST_CASE("an observer uses the replicas that a current replica names, and new seeds") {
    constexpr Endpoint kNew{0x0A00C805, 7000};
    constexpr Endpoint kSeed{0x0A00C804, 7000};
    Observer test{{kReplica}};
    test.client.on_tick(0, kStart);
    HeartbeatReply reply = current_reply(test.output.heartbeats[0], 0);
    reply.replicas = {kNew};
    test.client.on_message(kReplica, reply, kStart);
    test.client.on_tick(0, kStart + std::chrono::seconds(1));
    CHECK(std::count(test.output.recipients.begin(), test.output.recipients.end(), kNew) == 1);
    test.client.set_seeds({kSeed});
    test.client.on_tick(0, kStart + std::chrono::seconds(3));
    CHECK(test.output.recipients.back() == kSeed);
  }
}

}  // namespace gorsevalve
