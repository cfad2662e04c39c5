/// A replica says that it is current only where a majority stands behind what it holds.
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

/// One of five replicas, with what it sends.
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

/// Makes a replica leader of term 1 by the votes of replicas 2 and 3.
void elect(FiveVoterReplica& one, Instant now) {
  one.replica->on_tick(now);
  for (const bool pre_vote : {true, false}) {
    for (const ReplicaId voter : {ReplicaId{2}, ReplicaId{3}}) {
      one.replica->on_message({voter, 1, VoteReply{pre_vote, true}}, now);
    }
  }
}

/// Carries what two replicas sent each other; all others are cut off.
void exchange(FiveVoterReplica& one, FiveVoterReplica& other, Instant now) {
  for (int round = 0; round < 4; ++round) {
    for (const auto& [to, message] : std::exchange(one.sent, {})) {
      if (to.address == other.replica->id()) {
        other.replica->on_message(message, now);
      }
    }
    for (const auto& [to, message] : std::exchange(other.sent, {})) {
      if (to.address == one.replica->id()) {
        one.replica->on_message(message, now);
      }
    }
  }
}

}  // namespace

TEST_SUITE("replica_claims") {
  TEST_CASE("a follower of a leader without a majority is not current, and does not stay with it") {
    // Elected, and then cut off with one follower: the others commit without them.
    FiveVoterReplica leader(1);
    FiveVoterReplica follower(4);
    Instant now = kStart + std::chrono::seconds(2);
    elect(leader, now);
    REQUIRE(leader.replica->is_leader());
    for (int turn = 0; turn < 200; ++turn) {
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
