#include <doctest/doctest.h>

#include "codec/archive.h"
#include "codec/compression.h"
#include "codec/envelope.h"

namespace gorsevalve {
namespace {

constexpr Endpoint kSender{0x7F000001, 6000};
const std::string kOldKey = "old-key-0123456789";
const std::string kNewKey = "new-key-0123456789";

Envelope make_envelope(const std::string& cluster, std::vector<std::string> keys,
                       std::uint64_t incarnation = 1) {
  return {cluster, {std::move(keys)}, kSender, incarnation};
}

const PeerMessage kMessage = TakeoverRequest{5, 6, 7, 8};

}  // namespace

TEST_SUITE("envelope") {
  TEST_CASE("opening a sealed message returns its sender and content") {
    Envelope sender = make_envelope("c", {kOldKey});
    Envelope receiver = make_envelope("c", {kOldKey});
    const auto opened = receiver.open(sender.seal(kMessage));
    REQUIRE(opened);
    CHECK(opened->sender == kSender);
    const auto& peer = std::get<PeerMessage>(opened->message);
    CHECK(std::get<TakeoverRequest>(peer).chunk == 7);
  }

  TEST_CASE("an encoded message can be sealed several times") {
    Envelope sender = make_envelope("c", {kOldKey});
    Envelope receiver = make_envelope("c", {kOldKey});
    FleetUpdate update;
    update.digest = 77;
    update.deltas.resize(500);
    const EncodedMessage encoded = encode_message(NodeMessage(update));
    for (int copy = 0; copy < 3; ++copy) {
      const auto opened = receiver.open(sender.seal(encoded));
      REQUIRE(opened);
      CHECK(opened->kind == MessageKind::kNode);
      const auto& arrived = std::get<FleetUpdate>(std::get<NodeMessage>(opened->message));
      CHECK(arrived.digest == 77);
      CHECK(arrived.deltas.size() == 500);
    }
  }

  TEST_CASE("forged, foreign, replayed and malformed messages give distinct errors") {
    Envelope sender = make_envelope("c", {kOldKey});
    Envelope receiver = make_envelope("c", {kOldKey});
    const Bytes sealed = sender.seal(kMessage);
    Bytes forged = sealed;
    forged[40] ^= 1U;
    CHECK(receiver.open(forged).error() == EnvelopeError::kAuthenticationFailed);
    CHECK(make_envelope("c", {kNewKey}).open(sealed).error() ==
          EnvelopeError::kAuthenticationFailed);
    CHECK(make_envelope("d", {kOldKey}).open(sealed).error() == EnvelopeError::kWrongCluster);
    CHECK(receiver.open(ByteView(sealed).first(20)).error() == EnvelopeError::kMalformed);
    CHECK(receiver.open(sealed).has_value());
    CHECK(receiver.open(sealed).error() == EnvelopeError::kReplayed);
  }

  TEST_CASE("another format version is rejected with its own error") {
    Envelope sender = make_envelope("c", {kOldKey});
    Bytes sealed = sender.seal(kMessage);
    ++sealed[3];
    CHECK(make_envelope("c", {kOldKey}).open(sealed).error() == EnvelopeError::kUnsupportedVersion);
  }

  TEST_CASE("reordered messages are accepted, and a restarted sender starts a new sequence") {
    Envelope sender = make_envelope("c", {kOldKey});
    Envelope receiver = make_envelope("c", {kOldKey});
    const Bytes first = sender.seal(kMessage);
    const Bytes second = sender.seal(kMessage);
    CHECK(receiver.open(second).has_value());
    CHECK(receiver.open(first).has_value());
    Envelope restarted = make_envelope("c", {kOldKey}, 2);
    CHECK(receiver.open(restarted.seal(kMessage)).has_value());
  }

  TEST_CASE("a large message is compressed and unchanged when opened") {
    Envelope sender = make_envelope("c", {kOldKey});
    Envelope receiver = make_envelope("c", {kOldKey});
    FleetUpdate update;
    update.is_snapshot = true;
    for (std::uint16_t port = 1; port <= 500; ++port) {
      update.snapshot.steering.settings.frontends.push_back(
          {"route", {0xC6120001, port}, {{"pool", 1}}, {}, 1000, 100});
    }
    const Bytes plain = encode_archive(update);
    const Bytes sealed = sender.seal(NodeMessage(update));
    CHECK(sealed.size() * 3 < plain.size());
    const auto opened = receiver.open(sealed);
    REQUIRE(opened);
    const auto& arrived = std::get<FleetUpdate>(std::get<NodeMessage>(opened->message));
    CHECK(arrived.snapshot == update.snapshot);
  }

  TEST_CASE("a compressed body that is damaged or has a wrong size field is rejected") {
    const Bytes plain(5000, 7);
    const Bytes compressed = compress(plain);
    CHECK(decompress(compressed, plain.size()) == plain);
    CHECK_FALSE(decompress(compressed, plain.size() - 1));
    CHECK_FALSE(decompress(ByteView(compressed).first(3), plain.size()));
    CHECK_FALSE(decompress(ByteView(compressed).first(compressed.size() - 5), plain.size()));
    Bytes wrong_size = compressed;
    wrong_size[3] = 0x7F;
    CHECK_FALSE(decompress(wrong_size, std::size_t{1} << 40U));
  }

  TEST_CASE("during key rotation, processes with both keys accept messages of either key") {
    Envelope old_node = make_envelope("c", {kOldKey});
    Envelope prepared = make_envelope("c", {kOldKey, kNewKey}, 2);
    Envelope switched = make_envelope("c", {kNewKey, kOldKey}, 3);
    CHECK(prepared.open(switched.seal(kMessage)).has_value());
    CHECK(switched.open(prepared.seal(kMessage)).has_value());
    CHECK(switched.open(old_node.seal(kMessage)).has_value());
    CHECK(old_node.open(switched.seal(kMessage)).error() == EnvelopeError::kAuthenticationFailed);
  }
}

}  // namespace gorsevalve
