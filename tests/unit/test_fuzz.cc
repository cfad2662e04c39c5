/// Fuzz tests of every decoder of external input: random mutations of valid inputs. The seed is
/// fixed; GORSEVALVE_FUZZ_ROUNDS sets the number of rounds.
#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <random>

#include "balancer_fixture.h"
#include "codec/archive.h"
#include "codec/envelope.h"
#include "settings/settings_file.h"
#include "sim/sim_disk.h"
#include "storage/log_store.h"
#include "tasks/submission_body.h"
#include "tasks/target_poller.h"

namespace gorsevalve {
namespace {

constexpr std::uint64_t kSeed = 20261202;

std::uint64_t rounds() {
  const char* configured = std::getenv("GORSEVALVE_FUZZ_ROUNDS");
  constexpr std::uint64_t kRounds = 20000;
  return configured == nullptr ? kRounds : std::strtoull(configured, nullptr, 10);
}

/// Applies one to eight random edits: flips a bit, or replaces, removes or duplicates a byte.
Bytes mutate(Bytes bytes, std::mt19937_64& random) {
  const std::uint64_t edits = 1 + random() % 8;
  for (std::uint64_t i = 0; i < edits && !bytes.empty(); ++i) {
    const auto at = static_cast<std::ptrdiff_t>(random() % bytes.size());
    switch (random() % 4) {
      case 0:
        bytes[static_cast<std::size_t>(at)] ^= static_cast<std::uint8_t>(1U << (random() % 8));
        break;
      case 1:
        bytes[static_cast<std::size_t>(at)] = static_cast<std::uint8_t>(random());
        break;
      case 2:
        bytes.erase(bytes.begin() + at, bytes.begin() + at + 1);
        break;
      default:
        bytes.insert(bytes.begin() + at, bytes[static_cast<std::size_t>(at)]);
        break;
    }
  }
  return bytes;
}

void fuzz(const Bytes& valid, const std::function<void(const Bytes&)>& decode) {
  std::mt19937_64 random(kSeed);
  const std::uint64_t count = rounds();
  for (std::uint64_t i = 0; i < count; ++i) {
    decode(mutate(valid, random));
  }
}

CoapMessage request_with_options() {
  CoapMessage message = make_request(coap_code::kGet, 77, 3);
  message.observe = 0;
  message.queries = {"id=abc"};
  message.block2 = BlockOption{1, true, 4};
  message.payload = {'p'};
  return message;
}

}  // namespace

TEST_SUITE("fuzz") {
  TEST_CASE("mutated datagrams from clients never reach a target of another service") {
    BalancerFixture test;
    ProxyHeader header;
    header.flow = {kClient, kFirstService};
    const Bytes valid = encode_proxy_datagram(header, encode_coap(request_with_options()));
    fuzz(valid, [&](const Bytes& datagram) {
      test.balancer.on_datagram(datagram, test.now);
      for (const auto& sent : test.output.to_target) {
        const bool first = sent.header.flow.service == kFirstService;
        CHECK(sent.target == (first ? kFirstTarget : kSecondTarget));
      }
      test.output.to_target.clear();
      test.output.to_client.clear();
    });
  }

  TEST_CASE("mutated datagrams from targets are processed without failure") {
    BalancerFixture test;
    const CoapMessage request = request_with_options();
    test.request(kFirstService, request);
    const SentToTarget sent = test.output.to_target.front();
    ProxyHeader header = sent.header;
    header.target = sent.target;
    header.request_id->incarnation = kIncarnation;
    const Bytes valid = encode_proxy_datagram(header, encode_coap(make_response(request, "x")));
    fuzz(valid, [&](const Bytes& datagram) {
      test.balancer.on_datagram(datagram, test.now);
      test.output.to_target.clear();
    });
    CHECK(test.balancer.counters().datagrams_in > rounds());
  }

  TEST_CASE("messages between processes are rejected after a mutation or a replay") {
    Envelope sender("c", {{"key-0123456789abcdef"}}, kSelf, 1);
    Envelope receiver("c", {{"key-0123456789abcdef"}}, kSelf, 1);
    TakeoverChunk chunk;
    chunk.state.flow_records.push_back({{kClient, kFirstService}, kFirstTarget, 5});
    chunk.state.requests.emplace_back();
    const Bytes sealed = sender.seal(PeerMessage(chunk));
    std::uint64_t opened = 0;
    fuzz(sealed, [&](const Bytes& bytes) { opened += receiver.open(bytes) ? 1 : 0; });
    CHECK(opened <= 1);
  }

  TEST_CASE("mutated message bodies are decoded without failure") {
    // The bodies bypass the authentication of the envelope, which would reject them.
    FleetUpdate update;
    update.is_snapshot = true;
    update.snapshot = make_test_fleet();
    fuzz(encode_archive(update), [](const Bytes& bytes) { decode_archive<FleetUpdate>(bytes); });
    AppendRequest append;
    append.entries.push_back({1, 2, EntryType::kSettings, Bytes(30, 1)});
    fuzz(encode_archive(append), [](const Bytes& bytes) { decode_archive<AppendRequest>(bytes); });
    ReplicateRequest replicate;
    replicate.changes.requests.emplace_back();
    fuzz(encode_archive(replicate),
         [](const Bytes& bytes) { decode_archive<ReplicateRequest>(bytes); });
  }

  TEST_CASE("mutated log segments are read without failure") {
    SimDisk disk;
    LogStore store(disk);
    REQUIRE(store.open());
    REQUIRE(store.append({HardState{1, 2}, std::nullopt, {{1, 1, EntryType::kNoOp, Bytes(9, 1)}}}));
    REQUIRE(store.append({std::nullopt, std::nullopt, {{1, 2, EntryType::kNoOp, Bytes(9, 2)}}}));
    const Bytes valid = *disk.read("log-1.seg");
    fuzz(valid, [](const Bytes& bytes) {
      SimDisk damaged;
      REQUIRE(damaged.replace("log-1.seg", bytes));
      LogStore reader(damaged);
      const auto stored = reader.open();
      // Either rejected, or read with at most the two written entries.
      CHECK((!stored || stored->entries.size() <= 2));
    });
  }

  TEST_CASE("mutated settings files, submissions and health reports are parsed without failure") {
    const std::string text =
        "schema = 1\ndeployment = \"d\"\n[[service]]\nname = \"s\"\naddress = \"10.0.0.1:1\"\n"
        "[[service.target]]\nname = \"t\"\naddress = \"10.0.1.1:1\"\nzone = \"z\"\n";
    fuzz(Bytes(text.begin(), text.end()), [](const Bytes& bytes) {
      (void)parse_settings(std::string(bytes.begin(), bytes.end()), "f");
    });
    const std::string submission = R"({"id":"a","base_revision":1,"text":"x","author":"b"})";
    fuzz(Bytes(submission.begin(), submission.end()), [](const Bytes& bytes) {
      (void)parse_submission_body(std::string(bytes.begin(), bytes.end()));
    });
    const std::string report = R"({"healthy":true,"connections":5,"running":1})";
    fuzz(Bytes(report.begin(), report.end()), [](const Bytes& bytes) {
      (void)parse_target_report(kFirstTarget, std::string(bytes.begin(), bytes.end()));
    });
  }
}

}  // namespace gorsevalve
