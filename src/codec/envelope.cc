#include "codec/envelope.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "codec/archive.h"
#include "codec/compression.h"
#include "storage/secret_file.h"

namespace gorsevalve {
namespace {

constexpr std::array<std::uint8_t, 3> kMagic = {'G', 'V', 'M'};
constexpr std::uint8_t kVersion = 11;
/// Flag in the message type that marks a compressed body.
constexpr std::uint8_t kCompressedFlag = 0x80;
constexpr std::size_t kHeaderSize = 36;
constexpr std::size_t kMacSize = std::tuple_size_v<MessageMac>;

void append_big_endian(Bytes& out, std::uint64_t value, std::size_t size) {
  for (std::size_t i = size; i > 0; --i) {
    out.push_back(static_cast<std::uint8_t>(value >> (8U * (i - 1))));
  }
}

std::uint64_t read_big_endian(ByteView bytes, std::size_t offset, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) {
    value = (value << 8U) | bytes[offset + i];
  }
  return value;
}

/// Encodes the active alternative of a variant.
template <typename Variant>
Bytes encode_alternative(const Variant& message) {
  return std::visit([](const auto& body) { return encode_archive(body); }, message);
}

/// Decodes the alternative with the given index.
template <typename Variant, std::size_t kIndex = 0>
std::optional<Variant> decode_alternative(std::size_t type, ByteView body) {
  if constexpr (kIndex < std::variant_size_v<Variant>) {
    if (type != kIndex) {
      return decode_alternative<Variant, kIndex + 1>(type, body);
    }
    auto value = decode_archive<std::variant_alternative_t<kIndex, Variant>>(body);
    return value ? std::optional<Variant>(std::move(*value)) : std::nullopt;
  } else {
    return std::nullopt;
  }
}

/// Decodes a replica message, whose body is preceded by sender and term (8 bytes each).
std::optional<ReplicaMessage> decode_replica_message(std::size_t type, ByteView body) {
  constexpr std::size_t kPrefixSize = 16;
  if (body.size() < kPrefixSize) {
    return std::nullopt;
  }
  auto decoded =
      decode_alternative<decltype(ReplicaMessage::body)>(type, body.subspan(kPrefixSize));
  if (!decoded) {
    return std::nullopt;
  }
  return ReplicaMessage{read_big_endian(body, 0, 8), read_big_endian(body, 8, 8),
                        std::move(*decoded)};
}

/// Compresses the body when it is large enough.
EncodedMessage make_encoded_message(MessageKind kind, std::size_t type, Bytes body) {
  const auto plain_type = static_cast<std::uint8_t>(type);
  if (body.size() < kMinBodySizeToCompress) {
    return {kind, plain_type, std::move(body)};
  }
  return {kind, static_cast<std::uint8_t>(plain_type | kCompressedFlag), compress(body)};
}

}  // namespace

tl::expected<ClusterKeys, std::string> read_key_file(const std::string& path) {
  const auto lines = read_secret_file(path);
  if (!lines) {
    return tl::unexpected(lines.error());
  }
  ClusterKeys keys;
  for (const auto& line : *lines) {
    if (line.text.size() < kMinSecretSize) {
      return tl::unexpected(path + ":" + std::to_string(line.number) +
                            ": key must have at least 16 characters");
    }
    keys.keys.push_back(line.text);
  }
  return keys;
}

bool Envelope::ReplayWindow::accept(std::uint64_t sequence) {
  if (sequence > highest) {
    const std::uint64_t steps = std::min<std::uint64_t>(sequence - highest, kSize);
    for (std::uint64_t i = 0; i < steps; ++i) {
      seen.reset((sequence - i) % kSize);
    }
    highest = sequence;
  } else if (highest - sequence >= kSize || seen.test(sequence % kSize)) {
    return false;
  }
  seen.set(sequence % kSize);
  return true;
}

Envelope::Envelope(const std::string& cluster, const ClusterKeys& keys, Endpoint self,
                   std::uint64_t incarnation)
    : cluster_(XXH3_64bits(cluster.data(), cluster.size())),
      self_(self),
      incarnation_(incarnation) {
  for (const auto& key : keys.keys) {
    authenticators_.emplace_back(key);
  }
}

bool Envelope::has_envelope_magic(ByteView datagram) {
  return datagram.size() >= kHeaderSize + kMacSize &&
         std::equal(kMagic.begin(), kMagic.end(), datagram.begin());
}

EncodedMessage encode_message(const NodeMessage& message) {
  return make_encoded_message(MessageKind::kNode, message.index(), encode_alternative(message));
}

Bytes Envelope::seal(const EncodedMessage& message) {
  Bytes out;
  out.reserve(kHeaderSize + message.body.size() + kMacSize);
  out.assign(kMagic.begin(), kMagic.end());
  out.push_back(kVersion);
  out.push_back(static_cast<std::uint8_t>(message.kind));
  out.push_back(message.type);
  append_big_endian(out, self_.address, 4);
  append_big_endian(out, self_.port, 2);
  append_big_endian(out, incarnation_, 8);
  append_big_endian(out, ++sequence_, 8);
  append_big_endian(out, cluster_, 8);
  out.insert(out.end(), message.body.begin(), message.body.end());
  const MessageMac mac = authenticators_.front().compute(out);
  out.insert(out.end(), mac.begin(), mac.end());
  return out;
}

Bytes Envelope::seal(const PeerMessage& message) {
  return seal(
      make_encoded_message(MessageKind::kPeer, message.index(), encode_alternative(message)));
}

Bytes Envelope::seal(const NodeMessage& message) { return seal(encode_message(message)); }

Bytes Envelope::seal(const ReplicaMessage& message) {
  Bytes body;
  append_big_endian(body, message.from, 8);
  append_big_endian(body, message.term, 8);
  const Bytes rest = encode_alternative(message.body);
  body.insert(body.end(), rest.begin(), rest.end());
  return seal(make_encoded_message(MessageKind::kReplica, message.body.index(), std::move(body)));
}

bool Envelope::has_valid_mac(ByteView sealed) {
  const ByteView authenticated_part = sealed.first(sealed.size() - kMacSize);
  const ByteView mac = sealed.last(kMacSize);
  return std::any_of(authenticators_.begin(), authenticators_.end(),
                     [&](MessageAuthenticator& authenticator) {
                       return authenticator.verify(authenticated_part, mac);
                     });
}

tl::expected<OpenedMessage, EnvelopeError> Envelope::open(ByteView sealed) {
  if (!has_envelope_magic(sealed) || sealed.size() > kMaxEnvelopeSize) {
    return tl::unexpected(EnvelopeError::kMalformed);
  }
  if (sealed[3] != kVersion) {
    return tl::unexpected(EnvelopeError::kUnsupportedVersion);
  }
  if (read_big_endian(sealed, 28, 8) != cluster_) {
    return tl::unexpected(EnvelopeError::kWrongCluster);
  }
  if (!has_valid_mac(sealed)) {
    return tl::unexpected(EnvelopeError::kAuthenticationFailed);
  }
  OpenedMessage opened;
  opened.kind = static_cast<MessageKind>(sealed[4]);
  opened.sender = {static_cast<std::uint32_t>(read_big_endian(sealed, 6, 4)),
                   static_cast<std::uint16_t>(read_big_endian(sealed, 10, 2))};
  Sender& sender = senders_[opened.sender];
  const std::uint64_t incarnation = read_big_endian(sealed, 12, 8);
  if (sender.incarnation != incarnation) {
    sender = Sender{incarnation, {}};
  }
  if (!sender.window.accept(read_big_endian(sealed, 20, 8))) {
    return tl::unexpected(EnvelopeError::kReplayed);
  }
  ByteView body = sealed.subspan(kHeaderSize, sealed.size() - kHeaderSize - kMacSize);
  std::optional<Bytes> plain;
  if ((sealed[5] & kCompressedFlag) != 0) {
    plain = decompress(body, kMaxEnvelopeSize);
    if (!plain) {
      return tl::unexpected(EnvelopeError::kMalformed);
    }
    body = *plain;
  }
  const auto type = static_cast<std::uint8_t>(sealed[5] & ~kCompressedFlag);
  const auto store_decoded = [&](auto decoded) {
    if (decoded) {
      opened.message = std::move(*decoded);
    }
    return decoded.has_value();
  };
  bool decoded = false;
  if (opened.kind == MessageKind::kPeer) {
    decoded = store_decoded(decode_alternative<PeerMessage>(type, body));
  } else if (opened.kind == MessageKind::kReplica) {
    decoded = store_decoded(decode_replica_message(type, body));
  } else if (opened.kind == MessageKind::kNode) {
    decoded = store_decoded(decode_alternative<NodeMessage>(type, body));
  }
  if (!decoded) {
    return tl::unexpected(EnvelopeError::kMalformed);
  }
  return opened;
}

}  // namespace gorsevalve
