/// Authenticated envelope of every message between the system's own processes: sender, cluster, and
/// message authentication code (MAC).
///
///   magic "GVM" | version (1) | kind (1) | type (1) | sender address (4) and port (2) |
///   sender incarnation (8) | sequence (8) | cluster (8) | body | MAC (16)
///
/// Sizes are in bytes, integers are big endian. The highest bit of the type marks a compressed body
/// (compression.h). The MAC is HMAC-SHA-256 (RFC 2104), truncated to 128 bits, over everything
/// before it.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "codec/message_authentication.h"
#include "core/balancer/peer_messages.h"
#include "core/control/node_messages.h"
#include "core/control/replica_messages.h"
#include "model/bytes.h"
#include "model/endpoint.h"

namespace gorsevalve {

/// Largest sealed message, in bytes.
constexpr std::size_t kMaxEnvelopeSize = 16U << 20U;

enum class MessageKind : std::uint8_t { kPeer = 1, kReplica = 2, kNode = 3 };

/// Why a received message was dropped.
enum class EnvelopeError : std::uint8_t {
  kMalformed = 0,
  kUnsupportedVersion = 1,
  kWrongCluster = 2,
  kAuthenticationFailed = 3,
  kReplayed = 4,
};

/// A received message that passed all checks.
struct OpenedMessage {
  MessageKind kind = MessageKind::kPeer;
  Endpoint sender;
  std::variant<PeerMessage, ReplicaMessage, NodeMessage> message;
};

/// An encoded and possibly compressed message body. A message to many peers is encoded once.
struct EncodedMessage {
  MessageKind kind = MessageKind::kPeer;
  std::uint8_t type = 0;
  Bytes body;
};

EncodedMessage encode_message(const NodeMessage& message);

/// Shared keys. The first one authenticates sent messages; all are accepted, which allows key
/// rotation.
struct ClusterKeys {
  std::vector<std::string> keys;
};

/// Reads a key file with one key of at least 16 characters per line. The error names the file and
/// the line. A file that other users can read is rejected.
tl::expected<ClusterKeys, std::string> read_key_file(const std::string& path);

/// Seals outgoing messages and opens incoming ones. Not thread-safe: use one per process and
/// thread.
class Envelope {
 public:
  /// Requires at least one key.
  Envelope(const std::string& cluster, const ClusterKeys& keys, Endpoint self,
           std::uint64_t incarnation);

  [[nodiscard]] Bytes seal(const PeerMessage& message);
  [[nodiscard]] Bytes seal(const ReplicaMessage& message);
  [[nodiscard]] Bytes seal(const NodeMessage& message);
  [[nodiscard]] Bytes seal(const EncodedMessage& message);

  [[nodiscard]] tl::expected<OpenedMessage, EnvelopeError> open(ByteView sealed);

  /// True when the datagram starts with the magic of an envelope and is large enough for one. PROXY
  /// headers never start with it.
  [[nodiscard]] static bool has_envelope_magic(ByteView datagram);

 private:
  /// Replay window: sequence numbers received from one sender (RFC 4303 section 3.4.3).
  struct ReplayWindow {
    static constexpr std::size_t kSize = 4096;
    std::uint64_t highest = 0;
    std::bitset<kSize> seen;

    bool accept(std::uint64_t sequence);
  };
  struct Sender {
    std::uint64_t incarnation = 0;
    ReplayWindow window;
  };

  [[nodiscard]] bool has_valid_mac(ByteView sealed);

  std::uint64_t cluster_;
  /// One per key; the first one is for sending.
  std::vector<MessageAuthenticator> authenticators_;
  Endpoint self_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  absl::flat_hash_map<Endpoint, Sender> senders_;
};

}  // namespace gorsevalve
