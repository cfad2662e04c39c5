#include "sim/sim_operator.h"

#include <utility>

namespace gorsevalve {
namespace {

/// Interval between sends of a submission whose outcome is unknown.
constexpr Duration kResendInterval = std::chrono::milliseconds(250);
constexpr Duration kMinDelay = std::chrono::milliseconds(1);
constexpr Duration kMaxDelay = std::chrono::milliseconds(5);

}  // namespace

void SimOperator::enqueue_edit(Edit edit) {
  edits_.push_back(std::move(edit));
  if (!timer_active_) {
    timer_active_ = true;
    context_.events.every(kResendInterval, [this] {
      submit_next();
      timer_active_ = !edits_.empty();
      return timer_active_;
    });
  }
}

bool SimOperator::read_current(SettingsCommand& command) {
  for (const auto& replica : replicas_) {
    if (replica->holds_lease()) {
      const FleetState& fleet = replica->node().state().fleet();
      command.base_revision = fleet.settings_revision;
      command.settings = fleet.settings;
      return true;
    }
  }
  return false;
}

void SimOperator::submit_next() {
  if (edits_.empty()) {
    return;
  }
  if (!submission_) {
    SettingsCommand command;
    if (!read_current(command)) {
      return;
    }
    command.id = name_ + "-" + std::to_string(next_number_++);
    command.author = name_;
    edits_.front()(command.settings);
    submission_ = std::move(command);
  }
  send();
}

SimControl& SimOperator::choose_replica() {
  // A hint is used once because the replica may no longer be the leader.
  const std::optional<Endpoint> hinted = std::exchange(leader_hint_, std::nullopt);
  for (const auto& replica : replicas_) {
    if (hinted && replica->config().address == *hinted) {
      return *replica;
    }
  }
  return *replicas_[context_.random.below(replicas_.size())];
}

void SimOperator::send() {
  SimControl& replica = choose_replica();
  const bool is_lost = context_.random.chance(loss_);
  context_.events.after(context_.random.between(kMinDelay, kMaxDelay), [this, &replica, is_lost,
                                                                        command = *submission_] {
    if (is_lost || !replica.is_up() || replica.is_paused()) {
      return;
    }
    const SubmissionResult result = replica.node().submit(command, context_.events.now());
    if (context_.random.chance(loss_)) {
      return;
    }
    context_.events.after(context_.random.between(kMinDelay, kMaxDelay),
                          [this, id = command.id, result] { on_result(id, result); });
  });
}

void SimOperator::on_result(const SubmissionId& id, const SubmissionResult& result) {
  const bool current = submission_ && submission_->id == id;
  if (!current) {
    return;
  }
  if (result.status == ControlStatus::kNotLeader && result.leader) {
    leader_hint_ = result.leader;
    send();
    return;
  }
  if (result.status != ControlStatus::kOk) {
    return;
  }
  context_.checker.on_outcome({result.outcome, submission_->base_revision});
  context_.trace.note(context_.events.now(),
                      name_ + " " + id +
                          (result.outcome.accepted ? " accepted as " : " lost against ") +
                          std::to_string(result.outcome.revision));
  if (result.outcome.accepted) {
    accepted_.emplace(result.outcome.revision, context_.events.now());
    edits_.pop_front();
  }
  submission_.reset();
}

}  // namespace gorsevalve
