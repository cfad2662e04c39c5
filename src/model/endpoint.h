/// IPv4 address and port of a UDP or TCP endpoint.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gorsevalve {

/// IPv4 endpoint; both members are in host byte order.
struct Endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address& port;
  }
};

/// Parses "a.b.c.d:port". Returns nothing when the text has another form or the port is 0.
std::optional<Endpoint> parse_endpoint(std::string_view text);

/// Formats as "a.b.c.d:port".
std::string to_string(const Endpoint& endpoint);

/// Packs an endpoint into 48 bits; distinct endpoints give distinct values.
constexpr std::uint64_t packed(const Endpoint& endpoint) {
  return (std::uint64_t{endpoint.address} << 16U) | endpoint.port;
}

/// Hash support for Abseil containers.
template <typename Hasher>
Hasher AbslHashValue(Hasher state, const Endpoint& endpoint) {  // NOLINT: name fixed by Abseil
  return Hasher::combine(std::move(state), packed(endpoint));
}

}  // namespace gorsevalve
