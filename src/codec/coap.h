/// Parsing and encoding of CoAP messages (RFC 7252) with Observe (RFC 7641) and Block-wise transfer
/// (RFC 7959), for the balancer and the test doubles. libcoap parses messages and encodes options;
/// the fixed four-byte header is written here, since libcoap exports no encoder for it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/bytes.h"
#include "model/verdict.h"

namespace gorsevalve {

/// Largest accepted CoAP message, in bytes.
constexpr std::size_t kMaxCoapSize = 1280;

enum class CoapType : std::uint8_t {
  kConfirmable = 0,
  kNonConfirmable = 1,
  kAcknowledgement = 2,
  kReset = 3,
};

/// Method and response codes (RFC 7252 section 12.1, RFC 7959, RFC 8132).
namespace coap_code {
constexpr std::uint8_t kEmpty = 0x00;
constexpr std::uint8_t kGet = 0x01;
constexpr std::uint8_t kPost = 0x02;
constexpr std::uint8_t kPut = 0x03;
constexpr std::uint8_t kDelete = 0x04;
constexpr std::uint8_t kFetch = 0x05;
constexpr std::uint8_t kPatch = 0x06;
constexpr std::uint8_t kIpatch = 0x07;
constexpr std::uint8_t kLastMethod = 0x1F;
constexpr std::uint8_t kChanged = 0x44;
constexpr std::uint8_t kContent = 0x45;
constexpr std::uint8_t kNotFound = 0x84;
constexpr std::uint8_t kEntityIncomplete = 0x88;
constexpr std::uint8_t kServiceUnavailable = 0xA3;
constexpr std::uint8_t kGatewayTimeout = 0xA4;
}  // namespace coap_code

/// Token of up to eight bytes, stored inline.
struct CoapToken {
  std::array<std::uint8_t, 8> bytes{};
  std::uint8_t length = 0;

  friend auto operator<=>(const CoapToken&, const CoapToken&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    for (auto& byte : bytes) {
      archive& byte;
    }
    archive& length;
  }
};

template <typename Hasher>
Hasher AbslHashValue(Hasher state, const CoapToken& token) {  // NOLINT: name fixed by Abseil
  return Hasher::combine(std::move(state), token.bytes, token.length);
}

/// Block number, more flag and size exponent of a Block1 or Block2 option (RFC 7959 section 2.2).
struct BlockOption {
  std::uint32_t number = 0;
  bool more = false;
  std::uint8_t size_exponent = 0;
};

/// Fields of a parsed message that balancing depends on. Does not refer to the parsed buffer.
struct CoapSummary {
  CoapType type = CoapType::kConfirmable;
  std::uint8_t code = 0;
  std::uint16_t message_id = 0;
  CoapToken token;
  /// Observe value; in requests, 0 registers and 1 deregisters.
  std::optional<std::uint32_t> observe;
  std::optional<BlockOption> block1;
  std::optional<BlockOption> block2;
  /// Max-Age in seconds.
  std::optional<std::uint32_t> max_age;
  /// Hash of the Uri-Path, as computed by coap_path_hash.
  std::uint64_t path_hash = 0;

  [[nodiscard]] bool is_request() const {
    return code != coap_code::kEmpty && code <= coap_code::kLastMethod;
  }
  [[nodiscard]] bool is_response() const { return code >= 0x40; }
};

/// Observe values are sequence numbers modulo 2^24 (RFC 7641 section 2).
constexpr std::uint32_t kObserveMask = (1U << 24U) - 1;

/// True when Observe value `next` is fresher than `last` by sequence number (RFC 7641 section 3.4).
/// The time condition of that section is the caller's task.
bool observe_is_fresher(std::uint32_t last, std::uint32_t next);

/// Hash of a path such as "/a/b" for comparison with CoapSummary::path_hash.
std::uint64_t coap_path_hash(std::string_view path);

/// Parses messages. Reuses one buffer and does not allocate memory after construction.
class CoapParser {
 public:
  CoapParser();
  ~CoapParser();
  CoapParser(const CoapParser&) = delete;
  CoapParser& operator=(const CoapParser&) = delete;

  /// Returns nothing when the message is malformed, larger than kMaxCoapSize, or has a code of a
  /// reserved class.
  std::optional<CoapSummary> parse(ByteView message);

  /// Payload of the last parsed message. Valid until the next call of parse.
  [[nodiscard]] ByteView payload() const;

  /// Uri-Query options of the last parsed message.
  [[nodiscard]] std::vector<std::string> queries() const;

  /// Uri-Path of the last parsed message, as "/a/b".
  [[nodiscard]] std::string path() const;

 private:
  struct State;
  State* state_;
};

/// A message to encode. Options are encoded in the order of their numbers.
struct CoapMessage {
  CoapType type = CoapType::kConfirmable;
  std::uint8_t code = 0;
  std::uint16_t message_id = 0;
  CoapToken token;
  std::optional<std::uint32_t> observe;
  std::vector<std::string> path;
  std::optional<std::uint32_t> max_age;
  std::vector<std::string> queries;
  std::optional<BlockOption> block2;
  Bytes payload;
};

Bytes encode_coap(const CoapMessage& message);

/// Overwrites the message ID in place. The message must hold at least the four-byte header.
void set_coap_message_id(std::span<std::uint8_t> message, std::uint16_t message_id);

/// Overwrites the message type in place. The message must hold at least one byte.
void set_coap_type(std::span<std::uint8_t> message, CoapType type);

/// Overwrites the Observe option in place with a three-byte value. Returns the new size of the
/// message, which may be up to three bytes larger; 0 when the first `size` bytes contain no
/// Observe option or `buffer` is too small.
std::size_t set_coap_observe(std::span<std::uint8_t> buffer, std::size_t size, std::uint32_t value);

/// Encodes the response that reports a verdict: 5.03 (not run) or 5.04 (may have run), with
/// Max-Age; piggybacked when the request was confirmable.
Bytes encode_verdict(const Verdict& verdict, CoapType request_type, std::uint16_t message_id,
                     const CoapToken& token);

/// Encodes an empty message (acknowledgement or reset) with the given message ID.
Bytes encode_empty_message(CoapType type, std::uint16_t message_id);

}  // namespace gorsevalve
