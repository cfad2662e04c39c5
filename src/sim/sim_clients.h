/// All clients of a simulated run.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "sim/sim_fabric.h"
#include "sim/sim_process.h"
#include "standins/client_model.h"

namespace gorsevalve {

class SimClients : private ClientOutput {
 public:
  SimClients(SimContext context, SimFabric& fabric) : context_(context), fabric_(fabric) {}

  /// Adds a client with its own IP address.
  void add(ClientConfig config);
  /// Starts the timer of all clients that were added.
  void start();
  /// Stops new requests; outstanding ones continue.
  void stop();
  /// True when no client has an outstanding request.
  [[nodiscard]] bool is_idle() const;
  [[nodiscard]] ClientStats stats() const;
  /// Delivers a datagram to a client; false when no client has the address.
  bool receive(const Endpoint& client_address, const Bytes& datagram);

 private:
  void send(const FlowKey& flow, ByteView message) override;

  SimContext context_;
  SimFabric& fabric_;
  std::map<std::uint32_t, std::unique_ptr<ClientModel>> clients_;
  bool running_ = true;
};

}  // namespace gorsevalve
