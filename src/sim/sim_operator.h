/// An operator who submits whole settings and repeats a submission until its outcome is known.
/// Requests and answers of the administration API may be lost on the way.
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

  /// Queues a change. It is read, edited and submitted until one submission of it is accepted; a
  /// conflict leads to a new one on the newer base.
  void enqueue_edit(Edit edit);
  /// Share of the API's messages that are lost.
  void set_loss(double loss) { loss_ = loss; }

  [[nodiscard]] bool is_idle() const { return edits_.empty(); }
  /// Accepted revisions, with the instants at which this operator learned of them.
  [[nodiscard]] const std::map<Revision, Instant>& accepted() const { return accepted_; }

 private:
  void submit_next();
  /// Reads settings and base from a replica that proves its leadership.
  [[nodiscard]] bool read_current(SettingsCommand& command);
  void send();
  /// The replica that was named as leader last, or any.
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
