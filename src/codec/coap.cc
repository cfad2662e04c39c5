#include "codec/coap.h"

#include <coap3/coap.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace gorsevalve {
namespace {

constexpr std::uint8_t kCoapVersionBits = 0x40;
constexpr std::size_t kHeaderSize = 4;
constexpr std::uint8_t kPayloadMarker = 0xFF;

/// Accumulates the hash of a path, segment by segment.
class PathHash {
 public:
  void add(ByteView segment) {
    constexpr std::uint8_t kSeparator = '/';
    value_ = XXH3_64bits_withSeed(&kSeparator, 1, value_);
    value_ = XXH3_64bits_withSeed(segment.data(), segment.size(), value_);
  }
  [[nodiscard]] std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

ByteView option_value(const coap_opt_t* option) {
  return {coap_opt_value(option), coap_opt_length(option)};
}

std::uint32_t option_uint(ByteView value) {
  return coap_decode_var_bytes(value.data(), static_cast<unsigned>(value.size()));
}

BlockOption decode_block(ByteView value) {
  const std::uint32_t number = option_uint(value);
  return BlockOption{number >> 4U, (number & 0x08U) != 0,
                     static_cast<std::uint8_t>(number & 0x07U)};
}

/// Stores one option. Returns false when its length exceeds the limit of its definition.
bool apply_option(std::uint16_t number, ByteView value, CoapSummary& summary, PathHash& path) {
  constexpr std::size_t kMaxUintOption = 4;
  constexpr std::size_t kMaxThreeByteOption = 3;
  switch (number) {
    case COAP_OPTION_OBSERVE:
      if (value.size() > kMaxThreeByteOption) {
        return false;
      }
      summary.observe = option_uint(value);
      return true;
    case COAP_OPTION_BLOCK1:
    case COAP_OPTION_BLOCK2:
      if (value.size() > kMaxThreeByteOption) {
        return false;
      }
      (number == COAP_OPTION_BLOCK1 ? summary.block1 : summary.block2) = decode_block(value);
      return true;
    case COAP_OPTION_MAXAGE:
      if (value.size() > kMaxUintOption) {
        return false;
      }
      summary.max_age = option_uint(value);
      return true;
    case COAP_OPTION_URI_PATH:
      path.add(value);
      return true;
    default:
      return true;
  }
}

/// Appends options with libcoap's encoder.
class OptionWriter {
 public:
  explicit OptionWriter(Bytes& out) : out_(out) {}

  void add(std::uint16_t number, ByteView value) {
    const auto delta = static_cast<std::uint16_t>(number - last_number_);
    const std::size_t size = coap_opt_encode_size(delta, value.size());
    const std::size_t start = out_.size();
    out_.resize(start + size);
    coap_opt_encode(out_.data() + start, size, delta, value.data(), value.size());
    last_number_ = number;
  }

  void add_text(std::uint16_t number, const std::string& text) {
    add(number, ByteView(reinterpret_cast<const std::uint8_t*>(text.data()), text.size()));
  }

  void add_uint(std::uint16_t number, std::uint32_t value) {
    std::array<std::uint8_t, 4> buffer{};
    const unsigned size = coap_encode_var_safe(buffer.data(), buffer.size(), value);
    add(number, ByteView(buffer.data(), size));
  }

 private:
  Bytes& out_;
  std::uint16_t last_number_ = 0;
};

std::uint32_t encode_block(const BlockOption& block) {
  return (block.number << 4U) | (block.more ? 0x08U : 0U) | block.size_exponent;
}

}  // namespace

bool observe_is_fresher(std::uint32_t last, std::uint32_t next) {
  constexpr std::uint32_t kHalf = (kObserveMask + 1) / 2;
  const std::uint32_t distance = (next - last) & kObserveMask;
  return distance != 0 && distance < kHalf;
}

std::uint64_t coap_path_hash(std::string_view path) {
  PathHash hash;
  while (!path.empty() && path.front() == '/') {
    path.remove_prefix(1);
    const std::size_t end = std::min(path.find('/'), path.size());
    hash.add(ByteView(reinterpret_cast<const std::uint8_t*>(path.data()), end));
    path.remove_prefix(end);
  }
  return hash.value();
}

struct CoapParser::State {
  coap_pdu_t* pdu = nullptr;
};

CoapParser::CoapParser() : state_(new State) {
  state_->pdu = coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, kMaxCoapSize);
}

CoapParser::~CoapParser() {
  coap_delete_pdu(state_->pdu);
  delete state_;
}

std::optional<CoapSummary> CoapParser::parse(ByteView message) {
  if (message.size() < kHeaderSize || message.size() > kMaxCoapSize) {
    return std::nullopt;
  }
  if (coap_pdu_parse(COAP_PROTO_UDP, message.data(), message.size(), state_->pdu) == 0) {
    return std::nullopt;
  }
  CoapSummary summary;
  summary.type = static_cast<CoapType>(coap_pdu_get_type(state_->pdu));
  summary.code = message[1];
  summary.message_id = static_cast<std::uint16_t>((message[2] << 8U) | message[3]);
  const bool has_valid_class = summary.code == coap_code::kEmpty || summary.is_request() ||
                               (summary.code >= 0x40 && summary.code < 0xC0);
  if (!has_valid_class) {
    return std::nullopt;
  }
  const coap_bin_const_t token = coap_pdu_get_token(state_->pdu);
  summary.token.length = static_cast<std::uint8_t>(token.length);
  std::memcpy(summary.token.bytes.data(), token.s, token.length);
  if (summary.code == coap_code::kEmpty) {
    return summary;
  }
  PathHash path;
  coap_opt_iterator_t iterator;
  coap_option_iterator_init(state_->pdu, &iterator, COAP_OPT_ALL);
  while (const coap_opt_t* option = coap_option_next(&iterator)) {
    if (!apply_option(iterator.number, option_value(option), summary, path)) {
      return std::nullopt;
    }
  }
  summary.path_hash = path.value();
  return summary;
}

ByteView CoapParser::payload() const {
  std::size_t length = 0;
  const std::uint8_t* data = nullptr;
  if (coap_get_data(state_->pdu, &length, &data) == 0) {
    return {};
  }
  return {data, length};
}

std::vector<std::string> CoapParser::queries() const {
  std::vector<std::string> result;
  coap_opt_iterator_t iterator;
  coap_option_iterator_init(state_->pdu, &iterator, COAP_OPT_ALL);
  while (const coap_opt_t* option = coap_option_next(&iterator)) {
    if (iterator.number == COAP_OPTION_URI_QUERY) {
      const ByteView value = option_value(option);
      result.emplace_back(value.begin(), value.end());
    }
  }
  return result;
}

std::string CoapParser::path() const {
  std::string result;
  coap_opt_iterator_t iterator;
  coap_option_iterator_init(state_->pdu, &iterator, COAP_OPT_ALL);
  while (const coap_opt_t* option = coap_option_next(&iterator)) {
    if (iterator.number == COAP_OPTION_URI_PATH) {
      const ByteView value = option_value(option);
      result += '/';
      result.append(value.begin(), value.end());
    }
  }
  return result;
}

Bytes encode_coap(const CoapMessage& message) {
  Bytes out;
  out.reserve(kHeaderSize + message.token.length + message.payload.size() + 64);
  out.push_back(static_cast<std::uint8_t>(
      kCoapVersionBits | (static_cast<unsigned>(message.type) << 4U) | message.token.length));
  out.push_back(message.code);
  out.push_back(static_cast<std::uint8_t>(message.message_id >> 8U));
  out.push_back(static_cast<std::uint8_t>(message.message_id & 0xFFU));
  out.insert(out.end(), message.token.bytes.begin(),
             message.token.bytes.begin() + message.token.length);
  OptionWriter options(out);
  if (message.observe) {
    options.add_uint(COAP_OPTION_OBSERVE, *message.observe);
  }
  for (const auto& segment : message.path) {
    options.add_text(COAP_OPTION_URI_PATH, segment);
  }
  if (message.max_age) {
    options.add_uint(COAP_OPTION_MAXAGE, *message.max_age);
  }
  for (const auto& query : message.queries) {
    options.add_text(COAP_OPTION_URI_QUERY, query);
  }
  if (message.block2) {
    options.add_uint(COAP_OPTION_BLOCK2, encode_block(*message.block2));
  }
  if (!message.payload.empty()) {
    out.push_back(kPayloadMarker);
    out.insert(out.end(), message.payload.begin(), message.payload.end());
  }
  return out;
}

void set_coap_message_id(std::span<std::uint8_t> message, std::uint16_t message_id) {
  message[2] = static_cast<std::uint8_t>(message_id >> 8U);
  message[3] = static_cast<std::uint8_t>(message_id & 0xFFU);
}

void set_coap_type(std::span<std::uint8_t> message, CoapType type) {
  constexpr std::uint8_t kTypeMask = 0x30;
  message[0] =
      static_cast<std::uint8_t>((message[0] & ~kTypeMask) | (static_cast<unsigned>(type) << 4U));
}

std::size_t set_coap_observe(std::span<std::uint8_t> buffer, std::size_t size,
                             std::uint32_t value) {
  constexpr std::size_t kValueSize = 3;
  constexpr std::uint8_t kTokenLengthMask = 0x0F;
  // Options are encoded in ascending order of their numbers; those before Observe are skipped.
  std::size_t position = kHeaderSize + (buffer[0] & kTokenLengthMask);
  std::uint16_t number = 0;
  while (position < size && buffer[position] != kPayloadMarker) {
    coap_option_t option;
    const std::size_t length = coap_opt_parse(&buffer[position], size - position, &option);
    if (length == 0) {
      return 0;
    }
    number = static_cast<std::uint16_t>(number + option.delta);
    if (number != COAP_OPTION_OBSERVE) {
      position += length;
      continue;
    }
    const std::size_t new_length = coap_opt_encode_size(option.delta, kValueSize);
    const std::size_t new_size = size - length + new_length;
    if (new_size > buffer.size()) {
      return 0;
    }
    const std::array<std::uint8_t, kValueSize> value_bytes = {
        static_cast<std::uint8_t>(value >> 16U), static_cast<std::uint8_t>(value >> 8U),
        static_cast<std::uint8_t>(value)};
    std::memmove(&buffer[position + new_length], &buffer[position + length],
                 size - position - length);
    coap_opt_encode(&buffer[position], new_length, option.delta, value_bytes.data(),
                    value_bytes.size());
    return new_size;
  }
  return 0;
}

Bytes encode_verdict(const Verdict& verdict, CoapType request_type, std::uint16_t message_id,
                     const CoapToken& token) {
  CoapMessage message;
  message.type = request_type == CoapType::kConfirmable ? CoapType::kAcknowledgement
                                                        : CoapType::kNonConfirmable;
  message.code = verdict.execution == Execution::kNotRun ? coap_code::kServiceUnavailable
                                                         : coap_code::kGatewayTimeout;
  message.message_id = message_id;
  message.token = token;
  message.max_age = static_cast<std::uint32_t>(verdict.retry_after.count());
  return encode_coap(message);
}

Bytes encode_empty_message(CoapType type, std::uint16_t message_id) {
  CoapMessage message;
  message.type = type;
  message.message_id = message_id;
  return encode_coap(message);
}

}  // namespace gorsevalve
