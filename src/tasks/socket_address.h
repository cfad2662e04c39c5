/// Conversions between Endpoint and sockaddr_in.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include "model/endpoint.h"

namespace gorsevalve {

inline sockaddr_in to_sockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

inline Endpoint from_sockaddr(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

}  // namespace gorsevalve
