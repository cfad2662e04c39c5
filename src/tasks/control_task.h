/// The control process's main task: owns the log, the connections to replicas and balancers, and
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
  /// Where it binds, when others reach `address` through a forwarder.
  std::optional<Endpoint> listen;
  /// All replicas of the cluster, this one included.
  std::vector<Endpoint> replicas;
  /// Where this process runs; may be empty.
  std::string zone;
  /// Zones that operators may evacuate beside those of known targets.
  std::vector<std::string> zones;
  std::string cluster;
  ClusterKeys keys;
  std::uint64_t incarnation = 0;
  Duration tick_interval = Replica::kTickInterval;
  ReplicaTiming timing;
  /// How long a steering command waits to be decided.
  Duration steering_timeout = std::chrono::milliseconds(900);
  RegistrationTiming registrations;
};

/// Replicas that found a cluster: their identities follow from the cluster's name and their
/// addresses.
ReplicaSet initial_replica_set(const std::string& cluster, const std::vector<Endpoint>& addresses);

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

  /// Submits settings; calls back when they are decided, or with kStatusPending after
  /// kSubmissionTimeout.
  void submit(SettingsCommand command, SubmissionCallback callback);
  [[nodiscard]] SubmissionResult outcome(const SubmissionId& id) const;

  /// Submits a whole steering file; the highest version holds.
  void submit_steering(const SteeringCommand& command, SteeringCallback callback);
  /// Evacuates a zone or takes it back; acknowledged once it is committed, or when it is in force.
  void submit_evacuation(const EvacuationCommand& command, SteeringCallback callback);
  /// A target announced itself.
  void announce(RegisteredTarget announced, SteeringCallback callback);
  /// A target said that it has ended; it may tell when that life started.
  void end_target(TargetId id, std::optional<TargetStart> started_at_ms, SteeringCallback callback);
  /// The newest steering file, when this replica can prove that it is the newest; else who can.
  [[nodiscard]] tl::expected<std::string, SteeringReply> read_steering() const;
  /// Other replicas to ask for admission.
  void set_seeds(const std::vector<Endpoint>& seeds) { node_->set_seeds(seeds); }
  /// Hands leadership over before a planned stop, and refuses everything from now on.
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
  [[nodiscard]] SteeringReply not_leader() const;
  void await_proposal(const std::optional<Proposal>& proposal,
                      std::vector<SteeringCallback> callbacks, PendingProposals::Subject subject);
  /// Answers a call of a target, proposes what it said, passes it on, or keeps the call until there
  /// is a leader; `make_call` gives what makes the call anew, since most calls need no copy.
  template <typename Said, typename MakeCall>
  void handle_target_request(AnnouncementStatus status, const Said& said,
                             const SteeringCallback& callback, Instant now,
                             const MakeCall& make_call);
  void queue_registration(const ForwardedRequests::ForwardedChange& said,
                          SteeringCallback callback);
  /// Passes a call on to the leader; `retry` makes it anew.
  void forward(ForwardedRequests::ForwardedChange said, SteeringCallback callback,
               std::function<void()> decide_again);
  void send_forwarded();
  void complete_forwarded(Instant now);
  /// True shortly after the start while no replica leads: then no other one can answer either.
  [[nodiscard]] bool awaits_first_leader(Instant now) const;
  [[nodiscard]] bool may_buffer_request(Instant now) const;
  /// Decides about the calls of targets that came before there was a leader.
  void retry_buffered_requests(Instant now);
  void propose_registrations();
  /// Logs what targets said to this replica.
  void log_registrations(const std::vector<RegisteredTarget>& announced,
                         const std::vector<TargetIncarnation>& ended) const;
  /// Logs that an announcement begins another life of a target that is known.
  void log_restart(const RegisteredTarget& announced) const;

  void send(const Endpoint& to, const ReplicaMessage& message) override;
  bool send_node(const Endpoint& to, const NodeMessage& message) override;
  bool send_shared(const Endpoint& to, const SharedNodeMessage& message) override;
  void on_update_retransmitted(const UpdateRetransmission& repeated) override;
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
  /// Messages that went to several peers, the latest last, with their encoded form.
  std::deque<std::pair<SharedNodeMessage, EncodedMessage>> encoded_messages_;
  std::vector<PendingSubmission> pending_submissions_;
  PendingProposals proposals_;
  /// Registrations of this turn of the loop: they go into one entry.
  RegistrationCommand registrations_;
  std::vector<SteeringCallback> registration_callbacks_;
  /// Calls of targets that the leader decides about.
  ForwardedRequests forwarded_requests_;
  bool forward_scheduled_ = false;
  /// Calls of targets that wait for the first leader since the start; each decides itself.
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
