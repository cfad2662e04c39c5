/// A target in the simulator: the stand-in's model with a place in the network.
#pragma once

#include "sim/sim_fabric.h"
#include "sim/sim_process.h"
#include "standins/target_model.h"

namespace gorsevalve {

class SimTarget : public SimProcess, private TargetOutput {
 public:
  SimTarget(SimContext context, TargetModelConfig config, SimFabric& fabric);

  /// Starts with empty memory, cold.
  void start();
  void kill();
  /// The health endpoint; nothing when it does not answer.
  [[nodiscard]] std::optional<TargetReport> report();
  [[nodiscard]] const TargetModel& model() const { return *model_; }
  /// Executions of all lives, by update id.
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
  /// What earlier lives ran.
  std::map<std::string, std::uint32_t> past_executions_;
  std::uint64_t past_requests_ = 0;
  std::uint64_t past_misrouted_ = 0;
};

}  // namespace gorsevalve
