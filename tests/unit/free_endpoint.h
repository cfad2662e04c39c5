/// Loopback addresses for tests with real sockets.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include "tasks/socket_address.h"

namespace gorsevalve {

constexpr std::uint32_t kLoopback = 0x7F000001;

/// A loopback endpoint on which nobody listens.
inline Endpoint free_endpoint() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in raw = to_sockaddr({kLoopback, 0});
  socklen_t size = sizeof(raw);
  static_cast<void>(::bind(descriptor, reinterpret_cast<const sockaddr*>(&raw), size));
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&raw), &size);
  ::close(descriptor);
  return from_sockaddr(raw);
}

}  // namespace gorsevalve
