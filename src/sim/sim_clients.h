/// All callers of a simulated run.
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

  /// Adds a caller with an IP address of its own.
  void add(ClientConfig config);
  /// Begins to tick. Callers that were added begin their work at once.
  void start();
  /// No new work is begun.
  void stop();
  /// Nothing is outstanding.
  [[nodiscard]] bool is_idle() const;
  [[nodiscard]] ClientStats stats() const;
  /// A datagram for a caller; false when the address is no caller's.
  bool receive(const Endpoint& caller, const Bytes& datagram);

 private:
  void send(const FlowKey& flow, ByteView message) override;

  SimContext context_;
  SimFabric& fabric_;
  std::map<std::uint32_t, std::unique_ptr<ClientModel>> clients_;
  bool running_ = true;
};

}  // namespace gorsevalve
