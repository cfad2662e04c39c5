/// The control process's main task: owns the log, the connections to replicas and balancers, and
/// the control core.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "codec/envelope.h"
#include "core/control/control_node.h"
#include "storage/log_store.h"
#include "tasks/event_loop.h"
#include "tasks/frame_network.h"

namespace gorsevalve {

struct ControlTaskConfig {
  Endpoint address;
  /// Where it binds, when others reach `address` through a forwarder.
  std::optional<Endpoint> listen;
  /// All replicas of the cluster, this one included.
  std::vector<Endpoint> replicas;
  std::string cluster;
  ClusterKeys keys;
  std::uint64_t incarnation = 0;
};

/// Replicas that found a cluster: their identities follow from the cluster's name and their
/// addresses.
ReplicaSet founding_replicas(const std::string& cluster, const std::vector<Endpoint>& addresses);

class ControlTask : private ControlOutput, private ReplicaStorage {
 public:
  using SubmissionCallback = std::function<void(const SubmissionResult&)>;

  /// Writes the identity of a founding replica into an empty data folder.
  static StorageResult<void> initialize(Disk& disk, const ControlTaskConfig& config);

  /// Opens the data folder and starts. A folder without identity gets a new one, which takes part
  /// as a learner once the leader admitted it.
  static tl::expected<std::unique_ptr<ControlTask>, std::string> open(EventLoop& loop,
                                                                      ControlTaskConfig config,
                                                                      Disk& disk);

  /// Submits settings; calls back when they are decided, or with kPending after kDecisionTimeout.
  void submit(SettingsCommand command, SubmissionCallback callback);
  [[nodiscard]] SubmissionResult outcome(const SubmissionId& id) const;
  [[nodiscard]] const ControlNode& node() const { return *node_; }
  [[nodiscard]] std::uint64_t messages_refused() const { return messages_refused_; }

  static constexpr Duration kDecisionTimeout = std::chrono::seconds(5);

 private:
  struct Waiting {
    SubmissionId id;
    SubmissionCallback callback;
    Instant deadline;
  };

  ControlTask(EventLoop& loop, ControlTaskConfig config, Disk& disk);

  std::optional<Endpoint> on_frame(ByteView frame);
  void on_tick();
  void answer_waiting(Instant now);

  void send(const Endpoint& to, const ReplicaMessage& message) override;
  void send_node(const Endpoint& to, const NodeMessage& message) override;
  [[nodiscard]] bool append(const LogFrame& frame) override;
  [[nodiscard]] bool replace_with_snapshot(const Snapshot& snapshot,
                                           const LogFrame& frame) override;
  bool check(const StorageResult<void>& result);

  EventLoop& loop_;
  ControlTaskConfig config_;
  LogStore store_;
  Envelope envelope_;
  FrameNetwork network_;
  std::unique_ptr<ControlNode> node_;
  std::vector<Waiting> waiting_;
  std::uint64_t messages_refused_ = 0;
  bool was_leader_ = false;
};

}  // namespace gorsevalve
