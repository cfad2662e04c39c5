// Loaded into balancers by the soak: their connections leave from the machine's own loopback
// address, as on machines of their own, so that a target's end can tell balancers apart and leave
// those silent that a cut separates from it.

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
  // The port is chosen when the connection is opened, so that many share one.
  const int wanted = 1;
  return setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &wanted, sizeof(wanted)) ==
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
