/// The control process's main task. It owns the log, the connections to replicas and balancers, and
/// the control core.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "codec/envelope.h"
#include "core/control/control_node.h"
#include "storage/log_store.h"
#include "tasks/event_loop.h"
#include "tasks/forwarded_requests.h"
#include "tasks/frame_network.h"
#include "tasks/pending_proposals.h"

namespace gorsevalve {

struct ControlTaskConfig {
  Endpoint address;
  /// Local address to bind, if peers reach `address` through a forwarder.
  std::optional<Endpoint> listen;
  /// All replicas of the cluster, including this one.
  std::vector<Endpoint> replicas;
  /// Zone of this process; may be empty.
  std::string zone;
  /// Zones that operators may evacuate in addition to those of known targets.
  std::vector<std::string> zones;
  std::string cluster;
  ClusterKeys keys;
  std::uint64_t incarnation = 0;
  Duration tick_interval = Replica::kTickInterval;
  ReplicaTiming timing;
  /// Time limit for committing a steering command.
  Duration steering_timeout = std::chrono::milliseconds(900);
  RegistrationTiming registrations;
};

/// Initial replicas of a cluster. Their ids are hashes of the cluster name and the address.
ReplicaSet initial_replica_set(const std::string& cluster, const std::vector<Endpoint>& addresses);

class ControlTask : private ControlOutput, private ReplicaStorage {
 public:
  using SubmissionCallback = std::function<void(const SubmissionResult&)>;

  /// Writes the identity of an initial replica into an empty data directory.
  static StorageResult<void> initialize(Disk& disk, const ControlTaskConfig& config);

  /// Opens the data directory and starts. Without a stored identity the replica gets a new one and
  /// joins as a learner once the leader admits it.
  static tl::expected<std::unique_ptr<ControlTask>, std::string> open(EventLoop& loop,
                                                                      ControlTaskConfig config,
                                                                      Disk& disk);

  /// Submits settings. Calls back when they are committed or rejected, or with kPending after
  /// kSubmissionTimeout.
  void submit(SettingsCommand command, SubmissionCallback callback);
  [[nodiscard]] SubmissionResult outcome(const SubmissionId& id) const;

  /// Submits a complete steering file; the highest version wins.
  void submit_steering(const SteeringCommand& command, CommandCallback callback);
  /// Evacuates or restores a zone. Acknowledged once the command is committed, or if the committed
  /// state already includes it.
  void submit_evacuation(const EvacuationCommand& command, CommandCallback callback);
  /// Handles the announcement of a target.
  void announce(RegisteredTarget announced, CommandCallback callback);
  /// Handles the end of a target. `started_at_ms` selects the incarnation that ended.
  void end_target(TargetId id, std::optional<TargetStart> started_at_ms, CommandCallback callback);
  /// The committed steering file, if this replica holds the lease; otherwise a reply that names the
  /// leader.
  [[nodiscard]] tl::expected<std::string, CommandReply> read_steering() const;
  /// Sets the replicas to ask for admission.
  void set_seeds(const std::vector<Endpoint>& seeds) { node_->set_seeds(seeds); }
  /// Transfers leadership before a graceful shutdown and rejects all further requests.
  void prepare_stop();
  [[nodiscard]] const ControlNode& node() const { return *node_; }
  [[nodiscard]] std::uint64_t messages_rejected() const { return messages_rejected_; }
  [[nodiscard]] std::uint64_t updates_retransmitted() const { return updates_retransmitted_; }
  [[nodiscard]] const FrameCounters& frames() const { return network_.counters(); }

  static constexpr Duration kSubmissionTimeout = std::chrono::seconds(5);

 private:
  struct PendingSubmission {
    SubmissionId id;
    SubmissionCallback callback;
    Instant deadline;
  };

  ControlTask(EventLoop& loop, ControlTaskConfig config, Disk& disk);

  std::optional<Endpoint> on_frame(ByteView frame);
  void log_changes(Instant now);
  void on_tick();
  void log_unhealthy_targets();
  void complete_submissions(Instant now);
  [[nodiscard]] CommandReply not_leader() const;
  void await_proposal(const std::optional<Proposal>& proposal,
                      std::vector<CommandCallback> callbacks, PendingProposals::Subject subject);
  /// Completes, proposes, forwards or buffers the request of a target, depending on `status`.
  /// `make_retry` creates a closure that handles the request again; it is called only when one is
  /// needed.
  template <typename Change, typename MakeRetry>
  void handle_target_request(AnnouncementStatus status, const Change& change,
                             const CommandCallback& callback, Instant now,
                             const MakeRetry& make_retry);
  void queue_registration(const ForwardedRequests::ForwardedChange& change,
                          CommandCallback callback);
  /// Forwards a change to the leader; `retry` handles the request again.
  void forward(ForwardedRequests::ForwardedChange change, CommandCallback callback,
               std::function<void()> retry);
  void send_forwarded();
  void complete_forwarded(Instant now);
  /// True until a leader is known, for a limited time after the start. Until then no other replica
  /// can handle requests either.
  [[nodiscard]] bool awaits_first_leader(Instant now) const;
  [[nodiscard]] bool may_buffer_request(Instant now) const;
  /// Handles the requests that targets sent before a leader was known.
  void retry_buffered_requests(Instant now);
  void propose_registrations();
  /// Logs the registration changes that this replica received.
  void log_registrations(const std::vector<RegisteredTarget>& announced,
                         const std::vector<TargetIncarnation>& ended) const;
  /// Logs an announcement that starts a new incarnation of a known target.
  void log_restart(const RegisteredTarget& announced) const;

  void send(const Endpoint& to, const ReplicaMessage& message) override;
  bool send_node(const Endpoint& to, const NodeMessage& message) override;
  bool send_shared(const Endpoint& to, const SharedNodeMessage& message) override;
  void on_update_retransmitted(const UpdateRetransmission& retransmission) override;
  void on_targets_replaced(const std::vector<TargetIncarnation>& replaced) override;
  [[nodiscard]] bool is_replica(const Endpoint& address) const;
  const EncodedMessage& encode_cached(const SharedNodeMessage& message);
  [[nodiscard]] bool append(const LogFrame& frame) override;
  [[nodiscard]] bool replace_with_snapshot(const Snapshot& snapshot,
                                           const LogFrame& frame) override;
  [[nodiscard]] bool can_retry() const override { return !storage_damaged_; }
  bool check_write(const StorageResult<void>& result);

  EventLoop& loop_;
  ControlTaskConfig config_;
  LogStore store_;
  Envelope envelope_;
  FrameNetwork network_;
  std::unique_ptr<ControlNode> node_;
  /// Recent messages to several peers with their encoded form, newest last.
  std::deque<std::pair<SharedNodeMessage, EncodedMessage>> encoded_messages_;
  std::vector<PendingSubmission> pending_submissions_;
  PendingProposals proposals_;
  /// Registrations received in this iteration of the event loop; they form one log entry.
  RegistrationCommand registrations_;
  std::vector<CommandCallback> registration_callbacks_;
  /// Requests of targets that were forwarded to the leader.
  ForwardedRequests forwarded_requests_;
  bool forward_scheduled_ = false;
  /// Requests of targets that wait for the first leader since the start.
  std::vector<std::function<void()>> buffered_requests_;
  Instant started_at_ = monotonic_now();
  bool storage_damaged_ = false;
  bool storage_failing_ = false;
  bool stopping_ = false;
  std::uint64_t messages_rejected_ = 0;
  std::uint64_t updates_retransmitted_ = 0;
  bool was_leader_ = false;
  bool had_leader_contact_ = false;
  ReplicaSet logged_replicas_;
  std::vector<FlowToken> logged_unhealthy_;
  Instant last_tick_;
};

}  // namespace gorsevalve
