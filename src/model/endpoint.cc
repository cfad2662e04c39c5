#include "model/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace gorsevalve {

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string address_text(text.substr(0, colon));
  in_addr address{};
  if (inet_pton(AF_INET, address_text.c_str(), &address) != 1) {
    return std::nullopt;
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc{} || end != port_text.data() + port_text.size() || port == 0) {
    return std::nullopt;
  }
  return Endpoint{ntohl(address.s_addr), port};
}

std::string to_string(const Endpoint& endpoint) {
  const in_addr address{htonl(endpoint.address)};
  std::array<char, INET_ADDRSTRLEN> buffer{};
  inet_ntop(AF_INET, &address, buffer.data(), buffer.size());
  return std::string(buffer.data()) + ":" + std::to_string(endpoint.port);
}

}  // namespace gorsevalve
