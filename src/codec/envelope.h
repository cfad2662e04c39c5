/// Envelope of every message between the system's own processes: who sent it, to which cluster, and
/// an authentication code.
///
///   magic "GVM" | version (1) | kind (1) | type (1) | sender address (4) and port (2) |
///   sender incarnation (8) | sequence (8) | cluster (8) | body | code (16)
///
/// The highest bit of the type tells that the body is compressed (compression.h). Integers are big
/// endian. The code is HMAC-SHA-256 (RFC 2104), cut to 128 bits, over all before
/// it.
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

/// Largest sealed message, in octets.
constexpr std::size_t kMaxEnvelopeSize = 16U << 20U;

enum class MessageKind : std::uint8_t { kPeer = 1, kReplica = 2, kNode = 3 };

/// Why a message was dropped.
enum class EnvelopeError : std::uint8_t {
  kMalformed = 0,
  kUnsupportedVersion = 1,
  kWrongCluster = 2,
  kAuthenticationFailed = 3,
  kReplayed = 4,
};

/// A message that passed all checks.
struct OpenedMessage {
  MessageKind kind = MessageKind::kPeer;
  Endpoint sender;
  std::variant<PeerMessage, ReplicaMessage, NodeMessage> message;
};

/// A message as it goes into envelopes, compressed where that pays: one that goes to many peers is
/// encoded once.
struct EncodedMessage {
  MessageKind kind = MessageKind::kPeer;
  std::uint8_t type = 0;
  Bytes body;
};

EncodedMessage encode_message(const NodeMessage& message);

/// Shared keys, the first one for sending; all are accepted, so that keys can be rotated.
struct ClusterKeys {
  std::vector<std::string> keys;
};

/// Reads a key file: one key of at least 16 characters a line. The error names the file and line; a
/// file that others may read is refused.
tl::expected<ClusterKeys, std::string> read_key_file(const std::string& path);

/// Seals outgoing messages and opens incoming ones. One per process and thread.
class Envelope {
 public:
  /// There must be at least one key.
  Envelope(const std::string& cluster, const ClusterKeys& keys, Endpoint self,
           std::uint64_t incarnation);

  [[nodiscard]] Bytes seal(const PeerMessage& message);
  [[nodiscard]] Bytes seal(const ReplicaMessage& message);
  [[nodiscard]] Bytes seal(const NodeMessage& message);
  [[nodiscard]] Bytes seal(const EncodedMessage& message);

  [[nodiscard]] tl::expected<OpenedMessage, EnvelopeError> open(ByteView sealed);

  /// True when the datagram begins like an envelope; PROXY headers never do.
  [[nodiscard]] static bool has_envelope_magic(ByteView datagram);

 private:
  /// Sequence numbers of one sender that were seen (RFC 4303 section 3.4.3 describes the window).
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
  /// One for each key, the first one for sending.
  std::vector<MessageAuthenticator> authenticators_;
  Endpoint self_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  absl::flat_hash_map<Endpoint, Sender> senders_;
};

}  // namespace gorsevalve
