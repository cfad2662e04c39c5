#include "tasks/target_prober.h"

#include <cerrno>
#include <utility>
#include <vector>

#include "tasks/socket_address.h"

namespace gorsevalve {

TargetProber::TargetProber(EventLoop& loop, Callback callback)
    : loop_(loop), callback_(std::move(callback)) {}

TargetProber::~TargetProber() {
  for (const auto& [number, probe] : open_) {
    h2o_socket_close(probe->socket);
  }
}

bool TargetProber::send(std::uint64_t number, const Endpoint& target) {
  if (open_.size() >= kMaxOpen) {
    return false;
  }
  sockaddr_in raw = to_sockaddr(target);
  h2o_socket_t* socket = h2o_socket_connect(loop_.raw(), reinterpret_cast<sockaddr*>(&raw),
                                            sizeof(raw), &TargetProber::on_connected);
  if (socket == nullptr) {
    return false;
  }
  ++sent_;
  auto probe = std::make_unique<Probe>();
  *probe = {this, number, socket, monotonic_now()};
  socket->data = probe.get();
  open_[number] = std::move(probe);
  return true;
}

void TargetProber::on_connected(h2o_socket_t* socket, const char* error) {
  const auto* probe = static_cast<const Probe*>(socket->data);
  TargetProber& self = *probe->prober;
  const std::uint64_t number = probe->number;
  // h2o does not report the error. A connection that fails before the probe times out was refused,
  // since the connect timeout of the kernel is far longer.
  const ProbeAnswer answer = error == nullptr ? ProbeAnswer::kAccepted : ProbeAnswer::kRefused;
  self.close(number);
  self.callback_(number, answer);
}

void TargetProber::close(std::uint64_t number) {
  const auto found = open_.find(number);
  if (found != open_.end()) {
    h2o_socket_close(found->second->socket);
    open_.erase(found);
  }
}

void TargetProber::on_tick(Instant now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [number, probe] : open_) {
    if (now - probe->since > kTimeout) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    close(number);
  }
}

}  // namespace gorsevalve
