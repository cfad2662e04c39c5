#include <doctest/doctest.h>

#include "core/control/replica.h"

namespace gorsevalve {
namespace {

constexpr Instant kStart{std::chrono::seconds(1000)};

class MemoryStorage : public ReplicaStorage {
 public:
  bool append(const LogFrame& frame) override {
    committed = frame.committed;
    return accepts_writes;
  }
  bool replace_with_snapshot(const Snapshot& /*snapshot*/, const LogFrame& /*frame*/) override {
    return accepts_writes;
  }
  [[nodiscard]] bool can_retry() const override { return is_retryable; }
  LogIndex committed = 0;
  bool accepts_writes = true;
  bool is_retryable = false;
};

class RecordingOutput : public ReplicaOutput {
 public:
  void send(const Endpoint& /*to*/, const ReplicaMessage& message) override {
    sent.push_back(message);
  }
  std::vector<ReplicaMessage> sent;
};

class CountingState : public ReplicatedState {
 public:
  void apply(const LogEntry& /*entry*/) override { ++applied; }
  [[nodiscard]] Bytes save() const override { return {}; }
  void restore(ByteView /*saved*/) override {}
  int applied = 0;
};

ReplicaSet three_voters() {
  return {{{1, {1, 7000}, true}, {2, {2, 7000}, true}, {3, {3, 7000}, true}}};
}

/// Replica 1 of three, with the given hard state on disk.
struct TestReplica {
  explicit TestReplica(const HardState& hard_state = {}) {
    StoredReplica stored;
    stored.hard_state = hard_state;
    replica.emplace(ReplicaConfig{1, {1, 7000}, {}, 7, {}}, three_voters(), stored, storage, output,
                    state, kStart);
  }
  MemoryStorage storage;
  RecordingOutput output;
  CountingState state;
  std::optional<Replica> replica;
};

template <typename Body>
int count(const std::vector<ReplicaMessage>& messages) {
  int result = 0;
  for (const auto& message : messages) {
    result += std::holds_alternative<Body>(message.body) ? 1 : 0;
  }
  return result;
}

/// Elects the replica leader of term 1 with the vote of replica 2.
void elect(TestReplica& test, Instant now) {
  test.replica->on_tick(now);
  test.replica->on_message({2, 1, VoteReply{true, true}}, now);
  test.replica->on_message({2, 1, VoteReply{false, true}}, now);
}

}  // namespace

TEST_SUITE("replica") {
  TEST_CASE("a learner without a replica set replies to the first append request") {
    // A learner without a replica set must reply to the address in the append request; otherwise it
    // never receives the rest of the log.
    TestReplica test;
    StoredReplica nothing;
    Replica learner(ReplicaConfig{9, {9, 7000}, {}, 7, {}}, {}, nothing, test.storage, test.output,
                    test.state, kStart);
    AppendRequest first;
    first.leader = {1, 7000};
    first.entries.push_back({1, 1, EntryType::kNoOp, {}});
    learner.on_message({1, 1, first}, kStart);
    REQUIRE(test.output.sent.size() == 1);
    const auto* reply = std::get_if<AppendReply>(&test.output.sent[0].body);
    REQUIRE(reply != nullptr);
    CHECK(reply->accepted);
    CHECK(reply->index == 1);
  }
  TEST_CASE("a leader of an older term is notified of the newer term") {
    // Without the reply, a replica with a higher term rejects the active leader forever: it cannot
    // win an election and never catches up.
    TestReplica test({5, 0});
    test.replica->on_message({2, 3, AppendRequest{}}, kStart);
    REQUIRE(test.output.sent.size() == 1);
    CHECK(test.output.sent[0].term == 5);
    const auto* reply = std::get_if<AppendReply>(&test.output.sent[0].body);
    REQUIRE(reply != nullptr);
    CHECK_FALSE(reply->accepted);
  }

  TEST_CASE("a leader steps down when a follower replies with a higher term") {
    TestReplica test;
    const Instant later = kStart + std::chrono::seconds(2);
    elect(test, later);
    REQUIRE(test.replica->is_leader());
    test.replica->on_message({3, 9, AppendReply{false, 0, 0}}, later);
    CHECK_FALSE(test.replica->is_leader());
    CHECK(test.replica->term() == 9);
  }

  TEST_CASE("no vote is granted within an election timeout of leader contact") {
    TestReplica test({3, 0});
    test.replica->on_message({2, 3, AppendRequest{}}, kStart);
    test.output.sent.clear();
    test.replica->on_message({3, 4, VoteRequest{false, 10, 3, {3, 7000}}},
                             kStart + std::chrono::milliseconds(100));
    CHECK(test.output.sent.empty());
    CHECK(test.replica->term() == 3);
  }

  TEST_CASE("a candidate with an outdated log gets a vote only with the injected fault") {
    for (const bool faulty : {false, true}) {
      TestReplica test;
      const Instant later = kStart + std::chrono::seconds(2);
      ReplicaConfig config{1, {1, 7000}, {}, 7, {}};
      config.faults.vote_without_log_check = faulty;
      StoredReplica stored;
      stored.hard_state = {3, 0, false};
      stored.entries.push_back({3, 1, EntryType::kNoOp, {}});
      Replica voter(config, three_voters(), stored, test.storage, test.output, test.state, kStart);
      voter.on_message({2, 4, VoteRequest{false, 0, 0, {2, 7000}}}, later);
      REQUIRE(count<VoteReply>(test.output.sent) == 1);
      CHECK(std::get<VoteReply>(test.output.sent.back().body).granted == faulty);
    }
  }

  TEST_CASE("of two candidates with equal logs, the one with the smaller id withdraws") {
    const Instant later = kStart + std::chrono::seconds(2);
    // Replicas 1 and 2 request pre-votes at the same time.
    TestReplica test;
    test.replica->on_tick(later);
    test.output.sent.clear();
    test.replica->on_message({2, 1, VoteRequest{true, 0, 0, {2, 7000}}}, later);
    REQUIRE(count<VoteReply>(test.output.sent) == 1);
    CHECK(std::get<VoteReply>(test.output.sent[0].body).granted);
    // After withdrawing, a late pre-vote for replica 1 does not start an election.
    test.output.sent.clear();
    test.replica->on_message({2, 1, VoteReply{true, true}}, later);
    CHECK(count<VoteRequest>(test.output.sent) == 0);
    CHECK(test.replica->term() == 0);
    // The candidate with the greater id withdraws only if the other log is more complete.
    TestReplica candidate_with_greater_id;
    candidate_with_greater_id.replica->on_tick(later);
    candidate_with_greater_id.output.sent.clear();
    candidate_with_greater_id.replica->on_message({0, 1, VoteRequest{true, 0, 0, {2, 7000}}},
                                                  later);
    CHECK_FALSE(std::get<VoteReply>(candidate_with_greater_id.output.sent[0].body).granted);
    candidate_with_greater_id.replica->on_message({0, 1, VoteRequest{true, 5, 1, {2, 7000}}},
                                                  later);
    CHECK(std::get<VoteReply>(candidate_with_greater_id.output.sent[1].body).granted);
  }

  TEST_CASE("a restarted replica applies exactly the entries that it knew to be committed") {
    // After a restart of all replicas, balancers must not wait for an election to get the state
    // that is known to be committed.
    StoredReplica stored;
    stored.hard_state = {3, 0, false};
    for (LogIndex index = 1; index <= 4; ++index) {
      stored.entries.push_back({3, index, EntryType::kSteering, {}});
    }
    stored.committed = 3;
    TestReplica test;
    test.state.applied = 0;
    Replica replica(ReplicaConfig{1, {1, 7000}, {}, 7, {}}, three_voters(), stored, test.storage,
                    test.output, test.state, kStart);
    CHECK(replica.commit_index() == 3);
    CHECK(test.state.applied == 3);
    CHECK_FALSE(replica.is_current(kStart));
    // Each stored frame contains the commit index.
    AppendRequest next{{2, 7000}, 4, 3, 4, 0, {{4, 5, EntryType::kNoOp, {}}}};
    replica.on_message({2, 4, next}, kStart);
    CHECK(test.storage.committed == 3);
    CHECK(replica.commit_index() == 4);
  }

  TEST_CASE("a replica grants one vote per term, also after a restart") {
    TestReplica test;
    const Instant later = kStart + std::chrono::seconds(2);
    test.replica->on_message({2, 4, VoteRequest{false, 0, 0, {2, 7000}}}, later);
    test.replica->on_message({3, 4, VoteRequest{false, 0, 0, {3, 7000}}}, later);
    REQUIRE(test.output.sent.size() == 2);
    CHECK(std::get<VoteReply>(test.output.sent[0].body).granted);
    CHECK_FALSE(std::get<VoteReply>(test.output.sent[1].body).granted);
    TestReplica restarted({4, 2});
    restarted.replica->on_message({3, 4, VoteRequest{false, 0, 0, {3, 7000}}}, later);
    CHECK_FALSE(std::get<VoteReply>(restarted.output.sent[0].body).granted);
  }

  TEST_CASE("a replica sends no reply after a storage failure") {
    TestReplica test;
    test.storage.accepts_writes = false;
    const Instant later = kStart + std::chrono::seconds(2);
    test.replica->on_message({2, 4, VoteRequest{false, 0, 0, {2, 7000}}}, later);
    CHECK(count<VoteReply>(test.output.sent) == 0);
    CHECK(test.replica->has_failed());
  }

  TEST_CASE("a replica on a full disk acknowledges nothing and resumes when writes succeed") {
    TestReplica test;
    test.storage.accepts_writes = false;
    test.storage.is_retryable = true;
    const Instant later = kStart + std::chrono::seconds(2);
    test.replica->on_message({2, 4, VoteRequest{false, 0, 0, {2, 7000}}}, later);
    AppendRequest append;
    append.leader = {2, 7000};
    append.entries.push_back({4, 1, EntryType::kNoOp, {}});
    test.replica->on_message({2, 4, append}, later);
    CHECK(test.output.sent.empty());
    CHECK_FALSE(test.replica->has_failed());
    test.storage.accepts_writes = true;
    test.replica->on_message({2, 4, append}, later);
    REQUIRE(test.output.sent.size() == 1);
    CHECK(std::get<AppendReply>(test.output.sent[0].body).accepted);
  }

  TEST_CASE("a leader transfers leadership after a failed write and keeps its term") {
    TestReplica test;
    const Instant later = kStart + std::chrono::seconds(2);
    elect(test, later);
    const std::int64_t sent_at = later.time_since_epoch().count();
    test.replica->on_message({2, 1, AppendReply{true, 1, sent_at}}, later);
    test.storage.accepts_writes = false;
    test.storage.is_retryable = true;
    test.output.sent.clear();
    CHECK_FALSE(test.replica->propose(EntryType::kSettings, {}, later));
    CHECK_FALSE(test.replica->is_leader());
    CHECK(count<LeadershipTransfer>(test.output.sent) == 1);
    for (int i = 0; i < 500; ++i) {
      test.replica->on_tick(later + i * std::chrono::milliseconds(20));
      test.replica->on_message({2, 2, VoteReply{true, true}},
                               later + i * std::chrono::milliseconds(20));
    }
    CHECK(test.replica->term() == 1);
    CHECK(count<VoteRequest>(test.output.sent) > 0);
  }

  TEST_CASE("a leadership transfer starts an election at once that ignores the leader's lease") {
    TestReplica follower;
    const Instant later = kStart + std::chrono::seconds(2);
    AppendRequest append;
    append.leader = {2, 7000};
    follower.replica->on_message({2, 3, append}, later);
    follower.output.sent.clear();
    follower.replica->on_message({2, 3, LeadershipTransfer{}}, later);
    REQUIRE(count<VoteRequest>(follower.output.sent) == 2);
    const auto request = std::get<VoteRequest>(follower.output.sent[0].body);
    CHECK(request.released_lease_term == 3);
    CHECK_FALSE(request.pre_vote);
    TestReplica voter;
    voter.replica->on_message({2, 3, append}, later);
    voter.output.sent.clear();
    voter.replica->on_message({3, 4, request}, later);
    REQUIRE(count<VoteReply>(voter.output.sent) == 1);
    CHECK(std::get<VoteReply>(voter.output.sent[0].body).granted);
    // Only the leader can request a transfer.
    TestReplica other;
    other.replica->on_message({2, 3, append}, later);
    other.output.sent.clear();
    other.replica->on_message({3, 3, LeadershipTransfer{}}, later);
    CHECK(other.output.sent.empty());
  }

  TEST_CASE("a restarted leader starts an election at once that ignores its former lease") {
    HardState stored_state_of_leader{3, 1, 1};
    TestReplica restarted(stored_state_of_leader);
    restarted.replica->on_tick(kStart);
    REQUIRE(count<VoteRequest>(restarted.output.sent) == 2);
    const auto request = std::get<VoteRequest>(restarted.output.sent[0].body);
    CHECK(request.pre_vote);
    CHECK(request.released_lease_term == 3);
    // A voter that has also restarted grants the pre-vote at once.
    TestReplica voter({3, 1});
    voter.replica->on_message({2, 4, request}, kStart);
    REQUIRE(count<VoteReply>(voter.output.sent) == 1);
    CHECK(std::get<VoteReply>(voter.output.sent[0].body).granted);
    // A voter with a newer leader ignores the request.
    TestReplica newer({4, 3});
    AppendRequest append;
    append.leader = {3, 7000};
    newer.replica->on_message({3, 4, append}, kStart);
    newer.output.sent.clear();
    newer.replica->on_message({2, 5, request}, kStart + std::chrono::milliseconds(20));
    CHECK(newer.output.sent.empty());
    // It repeats the pre-vote at short intervals for the restart window.
    for (int tick = 1; tick <= 50; ++tick) {
      restarted.replica->on_tick(kStart + tick * std::chrono::milliseconds(20));
    }
    CHECK(count<VoteRequest>(restarted.output.sent) >= 2 * 15);
    const int asked = count<VoteRequest>(restarted.output.sent);
    restarted.replica->on_tick(kStart + std::chrono::seconds(10));
    restarted.replica->on_tick(kStart + std::chrono::milliseconds(10060));
    CHECK(count<VoteRequest>(restarted.output.sent) == asked + 2);
    // A replica that was not the leader waits for the election timeout.
    TestReplica follower({3, 1});
    follower.replica->on_tick(kStart + std::chrono::milliseconds(590));
    CHECK(count<VoteRequest>(follower.output.sent) == 0);
  }

  TEST_CASE("after a restart, a new identity at the leader's address ends the wait for its lease") {
    // Without this, voters wait for the lease of a process that no longer exists.
    const HardState stored_state{3, 2, 2};
    TestReplica voter(stored_state);
    voter.replica->on_tick(kStart + std::chrono::milliseconds(20));
    CHECK(count<VoteRequest>(voter.output.sent) == 0);
    // A new identity at another address has no effect.
    const Instant later = kStart + std::chrono::milliseconds(40);
    voter.replica->on_message({77, 0, JoinRequest{{3, 7000}}}, later);
    voter.replica->on_tick(later);
    CHECK(count<VoteRequest>(voter.output.sent) == 0);
    voter.replica->on_message({78, 0, JoinRequest{{2, 7000}}}, later);
    voter.replica->on_tick(later);
    REQUIRE(count<VoteRequest>(voter.output.sent) == 2);
    const auto request = std::get<VoteRequest>(voter.output.sent[0].body);
    CHECK(request.released_lease_term == 3);
    // The other voter, which received no join request, grants the pre-vote at once.
    TestReplica other(stored_state);
    other.replica->on_message({3, 4, request}, later);
    REQUIRE(count<VoteReply>(other.output.sent) == 1);
    CHECK(std::get<VoteReply>(other.output.sent[0].body).granted);
    // No effect if the identity is that of the leader, or after contact with another leader.
    TestReplica voter_of_same_leader(stored_state);
    voter_of_same_leader.replica->on_message({2, 0, JoinRequest{{2, 7000}}}, later);
    voter_of_same_leader.replica->on_tick(later);
    CHECK(count<VoteRequest>(voter_of_same_leader.output.sent) == 0);
    TestReplica voter_with_new_leader(stored_state);
    AppendRequest append;
    append.leader = {3, 7000};
    voter_with_new_leader.replica->on_message({3, 4, append}, later);
    voter_with_new_leader.output.sent.clear();
    voter_with_new_leader.replica->on_message({78, 0, JoinRequest{{2, 7000}}}, later);
    voter_with_new_leader.replica->on_tick(later);
    CHECK(count<VoteRequest>(voter_with_new_leader.output.sent) == 0);
    // The leader is part of the hard state.
    CHECK(voter_with_new_leader.replica->hard_state().leader == 3);
  }

  TEST_CASE(
      "an entry in flight is not repeated in each append, and is retransmitted after a timeout") {
    TestReplica test;
    const Instant start = kStart + std::chrono::seconds(2);
    elect(test, start);
    test.replica->on_message({2, 1, AppendReply{true, 1, start.time_since_epoch().count()}}, start);
    test.output.sent.clear();
    REQUIRE(test.replica->propose(EntryType::kSettings, Bytes(1000, 1), start));
    const auto appends_with_entries = [&] {
      int appends = 0;
      for (const auto& message : test.output.sent) {
        const auto* append = std::get_if<AppendRequest>(&message.body);
        appends += append != nullptr && !append->entries.empty() ? 1 : 0;
      }
      return appends;
    };
    const int initial_appends = appends_with_entries();
    CHECK(initial_appends <= 2);
    test.replica->on_tick(start + std::chrono::milliseconds(150));
    test.replica->on_tick(start + std::chrono::milliseconds(300));
    CHECK(appends_with_entries() == initial_appends);
    test.replica->on_tick(start + std::chrono::milliseconds(650));
    CHECK(appends_with_entries() > initial_appends);
    // Each rejection triggers one append without entries, to find where the logs match.
    test.output.sent.clear();
    const Instant later = start + std::chrono::milliseconds(700);
    test.replica->on_message({2, 1, AppendReply{false, 2, 0}}, later);
    CHECK(appends_with_entries() == 0);
    CHECK(count<AppendRequest>(test.output.sent) == 1);
    test.replica->on_message({2, 1, AppendReply{false, 2, 0}}, later);
    CHECK(count<AppendRequest>(test.output.sent) == 1);
    // Entries are sent once the logs match.
    test.replica->on_message({2, 1, AppendReply{true, 1, 0}}, later);
    CHECK(appends_with_entries() == 1);
  }

  TEST_CASE("a follower is current with leader contact and all committed entries applied") {
    TestReplica test;
    const Instant later = kStart + std::chrono::seconds(2);
    CHECK_FALSE(test.replica->is_current(later));
    AppendRequest append;
    append.leader = {2, 7000};
    append.entries.push_back({3, 1, EntryType::kNoOp, {}});
    append.commit_index = 2;
    append.has_lease = true;
    test.replica->on_message({2, 3, append}, later);
    CHECK_FALSE(test.replica->is_current(later));
    AppendRequest rest;
    rest.leader = {2, 7000};
    rest.previous_index = 1;
    rest.previous_term = 3;
    rest.entries.push_back({3, 2, EntryType::kNoOp, {}});
    rest.commit_index = 2;
    rest.has_lease = true;
    test.replica->on_message({2, 3, rest}, later);
    CHECK(test.replica->is_current(later));
    CHECK_FALSE(test.replica->is_current(later + std::chrono::milliseconds(700)));
  }

  TEST_CASE("an unreachable voter is removed only after a replacement has joined") {
    TestReplica test;
    const Instant start = kStart + std::chrono::seconds(2);
    elect(test, start);
    const auto acknowledge = [&](ReplicaId id, LogIndex index, Instant now) {
      test.replica->on_message({id, 1, AppendReply{true, index, now.time_since_epoch().count()}},
                               now);
    };
    Instant now = start;
    const auto run = [&](bool with_replica_4) {
      for (int i = 0; i < 200; ++i) {
        now += std::chrono::milliseconds(20);
        acknowledge(2, test.replica->last_index(), now);
        if (with_replica_4) {
          acknowledge(4, test.replica->last_index(), now);
        }
        test.replica->on_tick(now);
      }
    };
    // Replica 3 is silent for four seconds: it is not removed from three voters.
    run(false);
    CHECK(test.replica->replicas().replicas.size() == 3);
    test.replica->on_message({4, 0, JoinRequest{{4, 7000}}}, now);
    run(true);
    CHECK(test.replica->replicas().find(3) == nullptr);
    CHECK(test.replica->replicas().is_voter(4));
    CHECK(test.replica->replicas().replicas.size() == 3);
  }

  TEST_CASE("a voter without leader contact requests admission, since it may have been removed") {
    TestReplica test;
    for (int i = 0; i < 300; ++i) {
      test.replica->on_tick(kStart + i * std::chrono::milliseconds(20));
    }
    CHECK(count<JoinRequest>(test.output.sent) > 0);
  }

  TEST_CASE("a commit and a lease both require a majority") {
    TestReplica test;
    const Instant later = kStart + std::chrono::seconds(2);
    elect(test, later);
    CHECK_FALSE(test.replica->has_lease(later));
    CHECK_FALSE(test.replica->propose(EntryType::kSettings, {}, later));
    const std::int64_t sent_at = later.time_since_epoch().count();
    test.replica->on_message({2, 1, AppendReply{true, 1, sent_at}}, later);
    CHECK(test.replica->has_lease(later));
    CHECK(test.replica->commit_index() == 1);
    REQUIRE(test.replica->propose(EntryType::kSettings, {}, later));
    CHECK(test.replica->commit_index() == 1);
    CHECK_FALSE(test.replica->has_lease(later + std::chrono::milliseconds(580)));
  }
}

}  // namespace gorsevalve
