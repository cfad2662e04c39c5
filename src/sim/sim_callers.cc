#include "sim/sim_callers.h"

#include <algorithm>

#include "codec/proxy_header.h"

namespace gorsevalve {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);

}  // namespace

void SimCallers::add(ClientConfig config) {
  const std::uint32_t address = config.flow.client.address;
  callers_[address] = std::make_unique<ClientModel>(
      std::move(config), static_cast<ClientOutput&>(*this), context_.events.now());
}

void SimCallers::start() {
  context_.events.every(kTick, [this] {
    for (const auto& [address, caller] : callers_) {
      caller->on_tick(context_.events.now());
    }
    return running_;
  });
}

void SimCallers::stop() {
  for (const auto& [address, caller] : callers_) {
    caller->stop();
  }
}

bool SimCallers::is_idle() const {
  return std::all_of(callers_.begin(), callers_.end(),
                     [](const auto& entry) { return entry.second->is_idle(); });
}

ClientStats SimCallers::stats() const {
  ClientStats total;
  for (const auto& [address, caller] : callers_) {
    total.add(caller->stats());
  }
  return total;
}

bool SimCallers::receive(const Endpoint& caller, const Bytes& datagram) {
  const auto found = callers_.find(caller.address);
  if (found == callers_.end()) {
    return false;
  }
  const auto decoded = decode_proxy_datagram(datagram);
  if (decoded && decoded->header.flow == found->second->config().flow) {
    found->second->on_message(decoded->payload, context_.events.now());
  }
  return true;
}

void SimCallers::send(const FlowKey& flow, ByteView message) {
  if (const auto balancer = fabric_.pick()) {
    context_.network.send_datagram(flow.client, *balancer,
                                   encode_proxy_datagram({flow, {}, {}, {}}, message),
                                   TrafficKind::kData);
  }
}

}  // namespace gorsevalve
