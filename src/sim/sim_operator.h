/// Simulated operator that submits complete settings and resends a submission until its outcome is
/// known. Requests and replies of the administration API may be lost.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sim/sim_control.h"
#include "sim/sim_process.h"

namespace gorsevalve {

class SimOperator {
 public:
  using Edit = std::function<void(Settings&)>;
  using Replicas = std::vector<std::unique_ptr<SimControl>>;

  SimOperator(SimContext context, std::string name, const Replicas& replicas)
      : context_(context), name_(std::move(name)), replicas_(replicas) {}

  /// Queues an edit of the settings. It is applied to the current settings and submitted; after a
  /// conflict, it is applied again to the newer revision.
  void enqueue_edit(Edit edit);
  /// Sets the probability that an API request or reply is lost.
  void set_loss(double loss) { loss_ = loss; }

  [[nodiscard]] bool is_idle() const { return edits_.empty(); }
  /// Accepted revisions and the time at which this operator received the reply.
  [[nodiscard]] const std::map<Revision, Instant>& accepted() const { return accepted_; }

 private:
  void submit_next();
  /// Reads the settings and their revision from the replica that holds the leader lease.
  [[nodiscard]] bool read_current(SettingsCommand& command);
  void send();
  /// Returns the replica named by the leader hint, or a random one.
  [[nodiscard]] SimControl& choose_replica();
  void on_result(const SubmissionId& id, const SubmissionResult& result);

  SimContext context_;
  std::string name_;
  const Replicas& replicas_;
  double loss_ = 0.01;
  std::deque<Edit> edits_;
  std::optional<SettingsCommand> submission_;
  std::optional<Endpoint> leader_hint_;
  std::uint64_t next_number_ = 1;
  bool timer_active_ = false;
  std::map<Revision, Instant> accepted_;
};

}  // namespace gorsevalve
