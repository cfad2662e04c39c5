#include "sim/sim_clients.h"

#include <algorithm>

#include "codec/proxy_header.h"

namespace gorsevalve {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);

}  // namespace

void SimClients::add(ClientConfig config) {
  const std::uint32_t address = config.flow.client.address;
  clients_[address] = std::make_unique<ClientModel>(
      std::move(config), static_cast<ClientOutput&>(*this), context_.events.now());
}

void SimClients::start() {
  context_.events.every(kTickInterval, [this] {
    for (const auto& [address, model] : clients_) {
      model->on_tick(context_.events.now());
    }
    return running_;
  });
}

void SimClients::stop() {
  for (const auto& [address, model] : clients_) {
    model->stop();
  }
}

bool SimClients::is_idle() const {
  return std::all_of(clients_.begin(), clients_.end(),
                     [](const auto& entry) { return entry.second->is_idle(); });
}

ClientStats SimClients::stats() const {
  ClientStats total;
  for (const auto& [address, model] : clients_) {
    total.add(model->stats());
  }
  return total;
}

bool SimClients::receive(const Endpoint& client_address, const Bytes& datagram) {
  const auto found = clients_.find(client_address.address);
  if (found == clients_.end()) {
    return false;
  }
  const auto decoded = decode_proxy_datagram(datagram);
  if (decoded && decoded->header.flow == found->second->config().flow) {
    found->second->on_message(decoded->payload, context_.events.now());
  }
  return true;
}

void SimClients::send(const FlowKey& flow, ByteView message) {
  if (const auto balancer = fabric_.pick_balancer()) {
    context_.network.send_datagram(flow.client, *balancer,
                                   encode_proxy_datagram({flow, {}, {}, {}}, message),
                                   TrafficKind::kData);
  }
}

}  // namespace gorsevalve
