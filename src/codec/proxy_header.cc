#include "codec/proxy_header.h"

#include <array>
#include <cstring>

namespace gorsevalve {
namespace {

constexpr std::array<std::uint8_t, 12> kSignature = {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D,
                                                     0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A};
constexpr std::uint8_t kVersionAndProxyCommand = 0x21;
constexpr std::uint8_t kUdpOverIpv4 = 0x12;
constexpr std::size_t kFixedSize = 16;
constexpr std::size_t kIpv4AddressBlockSize = 12;
constexpr std::size_t kTlvHeaderSize = 3;
constexpr std::uint8_t kTypeUniqueId = 0x05;
constexpr std::uint8_t kTypeTarget = 0xE0;
constexpr std::uint8_t kTypeRelay = 0xE1;
constexpr std::uint8_t kTypeTimeLeft = 0xE2;
constexpr std::size_t kUniqueIdSize = 16;
constexpr std::size_t kTargetSize = 6;
constexpr std::size_t kRelaySize = 9;
constexpr std::size_t kTimeLeftSize = 4;

/// Reads a big-endian integer of `size` bytes; `data` must hold that many.
std::uint64_t read_big_endian(const std::uint8_t* data, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) {
    value = (value << 8U) | data[i];
  }
  return value;
}

/// Appends big-endian integers to a buffer that is large enough.
class BigEndianWriter {
 public:
  explicit BigEndianWriter(std::uint8_t* out) : begin_(out), position_(out) {}

  void write(std::uint64_t value, std::size_t size) {
    for (std::size_t i = size; i > 0; --i) {
      *position_++ = static_cast<std::uint8_t>(value >> (8U * (i - 1)));
    }
  }

  void write_tlv_header(std::uint8_t type, std::size_t size) {
    write(type, 1);
    write(size, 2);
  }

  [[nodiscard]] std::size_t size() const { return static_cast<std::size_t>(position_ - begin_); }

 private:
  std::uint8_t* begin_;
  std::uint8_t* position_;
};

Endpoint read_endpoint(const std::uint8_t* data) {
  return Endpoint{static_cast<std::uint32_t>(read_big_endian(data, 4)),
                  static_cast<std::uint16_t>(read_big_endian(data + 4, 2))};
}

/// Stores one TLV in the header. Returns false when its length is wrong.
bool apply_tlv(std::uint8_t type, ByteView value, ProxyHeader& header) {
  switch (type) {
    case kTypeUniqueId:
      if (value.size() != kUniqueIdSize) {
        return false;
      }
      header.request_id =
          RequestId{read_big_endian(value.data(), 8), read_big_endian(value.data() + 8, 8)};
      return true;
    case kTypeTarget:
      if (value.size() != kTargetSize) {
        return false;
      }
      header.target = read_endpoint(value.data());
      return true;
    case kTypeRelay:
      if (value.size() != kRelaySize) {
        return false;
      }
      header.relay = RelayInfo{value[0], read_big_endian(value.data() + 1, 8)};
      return true;
    case kTypeTimeLeft:
      if (value.size() != kTimeLeftSize) {
        return false;
      }
      header.time_left_ms =
          static_cast<std::uint32_t>(read_big_endian(value.data(), kTimeLeftSize));
      return true;
    default:
      return true;
  }
}

bool decode_tlvs(ByteView tlvs, ProxyHeader& header) {
  while (!tlvs.empty()) {
    if (tlvs.size() < kTlvHeaderSize) {
      return false;
    }
    const std::uint8_t type = tlvs[0];
    const std::size_t size = read_big_endian(tlvs.data() + 1, 2);
    tlvs = tlvs.subspan(kTlvHeaderSize);
    if (tlvs.size() < size) {
      return false;
    }
    if (!apply_tlv(type, tlvs.first(size), header)) {
      return false;
    }
    tlvs = tlvs.subspan(size);
  }
  return true;
}

void write_tlvs(const ProxyHeader& header, BigEndianWriter& writer) {
  if (header.request_id) {
    writer.write_tlv_header(kTypeUniqueId, kUniqueIdSize);
    writer.write(header.request_id->incarnation, 8);
    writer.write(header.request_id->sequence, 8);
  }
  if (header.target) {
    writer.write_tlv_header(kTypeTarget, kTargetSize);
    writer.write(header.target->address, 4);
    writer.write(header.target->port, 2);
  }
  if (header.relay) {
    writer.write_tlv_header(kTypeRelay, kRelaySize);
    writer.write(header.relay->hops, 1);
    writer.write(header.relay->members_revision, 8);
  }
  if (header.time_left_ms) {
    writer.write_tlv_header(kTypeTimeLeft, kTimeLeftSize);
    writer.write(*header.time_left_ms, kTimeLeftSize);
  }
}

}  // namespace

std::optional<ProxyDatagram> decode_proxy_datagram(ByteView datagram) {
  if (datagram.size() < kFixedSize + kIpv4AddressBlockSize) {
    return std::nullopt;
  }
  if (std::memcmp(datagram.data(), kSignature.data(), kSignature.size()) != 0) {
    return std::nullopt;
  }
  if (datagram[12] != kVersionAndProxyCommand || datagram[13] != kUdpOverIpv4) {
    return std::nullopt;
  }
  const std::size_t length = read_big_endian(datagram.data() + 14, 2);
  if (length < kIpv4AddressBlockSize || datagram.size() < kFixedSize + length) {
    return std::nullopt;
  }
  const std::uint8_t* addresses = datagram.data() + kFixedSize;
  ProxyDatagram result;
  result.header.flow.client.address = static_cast<std::uint32_t>(read_big_endian(addresses, 4));
  result.header.flow.service.address =
      static_cast<std::uint32_t>(read_big_endian(addresses + 4, 4));
  result.header.flow.client.port = static_cast<std::uint16_t>(read_big_endian(addresses + 8, 2));
  result.header.flow.service.port = static_cast<std::uint16_t>(read_big_endian(addresses + 10, 2));
  const ByteView tlvs =
      datagram.subspan(kFixedSize + kIpv4AddressBlockSize, length - kIpv4AddressBlockSize);
  if (!decode_tlvs(tlvs, result.header)) {
    return std::nullopt;
  }
  result.payload = datagram.subspan(kFixedSize + length);
  return result;
}

std::size_t encode_proxy_header(const ProxyHeader& header, std::uint8_t* out) {
  std::memcpy(out, kSignature.data(), kSignature.size());
  out[12] = kVersionAndProxyCommand;
  out[13] = kUdpOverIpv4;
  BigEndianWriter writer(out + kFixedSize);
  writer.write(header.flow.client.address, 4);
  writer.write(header.flow.service.address, 4);
  writer.write(header.flow.client.port, 2);
  writer.write(header.flow.service.port, 2);
  write_tlvs(header, writer);
  BigEndianWriter(out + 14).write(writer.size(), 2);
  return kFixedSize + writer.size();
}

Bytes encode_proxy_datagram(const ProxyHeader& header, ByteView payload) {
  Bytes datagram(kMaxProxyHeaderSize);
  datagram.resize(encode_proxy_header(header, datagram.data()));
  datagram.insert(datagram.end(), payload.begin(), payload.end());
  return datagram;
}

}  // namespace gorsevalve
