/// A replica must report itself as current only if a majority supports its leader.
#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "core/control/replica.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::seconds(1000)};

class MemoryStorage : public ReplicaStorage {
 public:
  bool append(const LogFrame& /*frame*/) override { return true; }
  bool replace_with_snapshot(const Snapshot& /*snapshot*/, const LogFrame& /*frame*/) override {
    return true;
  }
};

class StubState : public ReplicatedState {
 public:
  void apply(const LogEntry& /*entry*/) override {}
  [[nodiscard]] Bytes save() const override { return {}; }
  void restore(ByteView /*saved*/) override {}
};

/// One of five voters, which records the messages that it sends.
class FiveVoterReplica : public ReplicaOutput {
 public:
  explicit FiveVoterReplica(ReplicaId id) {
    ReplicaSet set;
    for (std::uint32_t i = 1; i <= 5; ++i) {
      set.replicas.push_back({i, {i, 7000}, true});
    }
    replica.emplace(ReplicaConfig{id, {static_cast<std::uint32_t>(id), 7000}, {}, id, {}}, set,
                    StoredReplica{}, storage_, *this, state_, kStart);
  }

  void send(const Endpoint& to, const ReplicaMessage& message) override {
    sent.emplace_back(to, message);
  }

  std::vector<std::pair<Endpoint, ReplicaMessage>> sent;
  std::optional<Replica> replica;

 private:
  MemoryStorage storage_;
  StubState state_;
};

/// Elects a replica leader of term 1 with the votes of replicas 2 and 3.
void elect(FiveVoterReplica& first, Instant now) {
  first.replica->on_tick(now);
  for (const bool pre_vote : {true, false}) {
    for (const ReplicaId voter : {ReplicaId{2}, ReplicaId{3}}) {
      first.replica->on_message({voter, 1, VoteReply{pre_vote, true}}, now);
    }
  }
}

/// Delivers messages between two replicas that are partitioned from all others.
void exchange(FiveVoterReplica& first, FiveVoterReplica& second, Instant now) {
  for (int round = 0; round < 4; ++round) {
    for (const auto& [to, message] : std::exchange(first.sent, {})) {
      if (to.address == second.replica->id()) {
        second.replica->on_message(message, now);
      }
    }
    for (const auto& [to, message] : std::exchange(second.sent, {})) {
      if (to.address == first.replica->id()) {
        first.replica->on_message(message, now);
      }
    }
  }
}

}  // namespace

TEST_SUITE("replica_claims") {
  TEST_CASE("a follower of a leader without a majority is not current, and the leader steps down") {
    // The elected leader and one follower are partitioned; the majority can commit without them.
    FiveVoterReplica leader(1);
    FiveVoterReplica follower(4);
    Instant now = kStart + std::chrono::seconds(2);
    elect(leader, now);
    REQUIRE(leader.replica->is_leader());
    for (int tick = 0; tick < 200; ++tick) {
      now += milliseconds(20);
      leader.replica->on_tick(now);
      exchange(leader, follower, now);
      CHECK_FALSE(leader.replica->is_current(now));
      CHECK_FALSE(follower.replica->is_current(now));
    }
    CHECK_FALSE(leader.replica->is_leader());
  }
}

}  // namespace gorsevalve
