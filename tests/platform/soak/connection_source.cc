// LD_PRELOAD library for balancers in the soak test: binds outgoing connections to the loopback
// address of their machine. Targets can then block the balancers of an unreachable zone.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>

namespace {

bool bind_to_machine(int descriptor, const char* ip) {
  sockaddr_in own{};
  own.sin_family = AF_INET;
  inet_pton(AF_INET, ip, &own.sin_addr);
  // Lets connect() choose the port, so connections to different peers can share one.
  const int enabled = 1;
  return setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled)) ==
             0 &&
         bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) == 0;
}

}  // namespace

extern "C" int connect(int descriptor, const sockaddr* peer, socklen_t length) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto kNext = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  const char* ip = std::getenv("SOAK_CONNECTION_SOURCE");
  if (ip != nullptr && peer->sa_family == AF_INET && !bind_to_machine(descriptor, ip)) {
    return -1;
  }
  return kNext(descriptor, peer, length);
}
