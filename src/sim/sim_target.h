/// Simulated target process: the model of the test double attached to the simulated network.
#pragma once

#include "sim/sim_fabric.h"
#include "sim/sim_process.h"
#include "standins/target_model.h"

namespace gorsevalve {

class SimTarget : public SimProcess, private TargetOutput {
 public:
  SimTarget(SimContext context, TargetModelConfig config, SimFabric& fabric);

  /// Starts a new incarnation without state; it has to warm up.
  void start();
  void kill();
  /// Report of the health endpoint; nullopt when it does not respond.
  [[nodiscard]] std::optional<TargetReport> report();
  [[nodiscard]] const TargetModel& model() const { return *model_; }
  /// Number of executions per update id, over all incarnations.
  [[nodiscard]] std::map<std::string, std::uint32_t> executions() const;
  [[nodiscard]] std::uint64_t requests_run() const;
  [[nodiscard]] std::uint64_t misrouted_datagrams() const;

 private:
  void handle(const SimMessage& message) override;
  void send_response(const ProxyHeader& header, ByteView message) override;
  void save_counters();

  TargetModelConfig config_;
  SimFabric& fabric_;
  std::unique_ptr<TargetModel> model_;
  /// Counters of earlier incarnations.
  std::map<std::string, std::uint32_t> past_executions_;
  std::uint64_t past_requests_ = 0;
  std::uint64_t past_misrouted_ = 0;
};

}  // namespace gorsevalve
