/// Simulated control replica with its disk.
#pragma once

#include <memory>

#include "core/control/control_node.h"
#include "sim/sim_disk.h"
#include "sim/sim_process.h"
#include "storage/log_store.h"

namespace gorsevalve {

struct SimControlConfig {
  std::string name;
  Endpoint address;
  std::vector<Endpoint> replicas;
  std::uint32_t partitions = kDefaultPartitions;
  ReplicaFaults replica_faults;
  ControlFaults control_faults;
};

class SimControl : public SimProcess, private ControlOutput, private ReplicaStorage {
 public:
  SimControl(SimContext context, SimControlConfig config);

  /// Writes the identity of an initial replica to the disk.
  void initialize();
  void start();
  /// Simulates a power loss.
  void kill();
  /// Replaces the disk with an empty one. The process must be down.
  void wipe();
  SimDisk& disk() { return disk_; }

  [[nodiscard]] const SimControlConfig& config() const { return config_; }
  /// The core; valid only while the process is up.
  [[nodiscard]] ControlNode& node() { return *node_; }
  [[nodiscard]] bool holds_lease() const;
  /// Error of the last start; empty when it succeeded.
  [[nodiscard]] const std::string& start_error() const { return start_error_; }

 private:
  void handle(const SimMessage& message) override;
  void on_tick();
  void send(const Endpoint& to, const ReplicaMessage& message) override;
  bool send_node(const Endpoint& to, const NodeMessage& message) override;
  [[nodiscard]] bool append(const LogFrame& frame) override;
  [[nodiscard]] bool replace_with_snapshot(const Snapshot& snapshot,
                                           const LogFrame& frame) override;

  SimControlConfig config_;
  SimDisk disk_;
  std::unique_ptr<LogStore> store_;
  std::unique_ptr<ControlNode> node_;
  std::string start_error_;
  Revision last_revision_ = 0;
};

/// Initial replica set of a cluster; ids derive from the addresses as in the programs.
ReplicaSet sim_replica_set(const std::vector<Endpoint>& addresses);

}  // namespace gorsevalve
