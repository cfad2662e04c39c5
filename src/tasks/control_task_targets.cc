/// The control task's part that answers targets: what they announce and that they end, decided here
/// by the leader, or passed on to it.
#include <utility>

#include "tasks/control_task.h"
#include "tasks/log.h"

namespace gorsevalve {
namespace {

/// For this long after a start, calls of targets wait for a leader. After a loss of all, targets
/// that were refused would at once ask the next replica, which cannot answer either: their calls,
/// several for each, kept the replicas from their election. Less than the second for which targets
/// wait.
constexpr Duration kFirstLeaderTimeout = std::chrono::milliseconds(800);
/// Calls that wait at most; further ones are refused.
constexpr std::size_t kMaxBufferedRequests = 4096;

}  // namespace

void ControlTask::announce(RegisteredTarget announced, SteeringCallback callback) {
  const Instant now = monotonic_now();
  const AnnouncementStatus status =
      stopping_ ? AnnouncementStatus::kNotLeader : node_->on_announcement(announced, now);
  handle_target_request(status, announced, callback, now, [&] {
    return [this, announced, callback] { announce(announced, callback); };
  });
}

void ControlTask::end_target(TargetId id, std::optional<TargetStart> started_at_ms,
                             SteeringCallback callback) {
  const Instant now = monotonic_now();
  const TargetIncarnation life = node_->incarnation_to_end(id, started_at_ms, unix_now_ms());
  const AnnouncementStatus status =
      stopping_ ? AnnouncementStatus::kNotLeader : node_->check_target_end(life, now);
  handle_target_request(status, life, callback, now, [&] {
    return [this, id, started_at_ms, callback] { end_target(id, started_at_ms, callback); };
  });
}

template <typename Said, typename MakeCall>
void ControlTask::handle_target_request(AnnouncementStatus status, const Said& said,
                                        const SteeringCallback& callback, Instant now,
                                        const MakeCall& make_call) {
  if (status == AnnouncementStatus::kCommitted) {
    callback({SteeringStatus::kAcknowledged, std::nullopt});
  } else if (status == AnnouncementStatus::kPropose) {
    queue_registration(said, callback);
  } else if (status == AnnouncementStatus::kForward && !forwarded_requests_.is_full()) {
    forward(said, callback, make_call());
  } else if (status == AnnouncementStatus::kNotLeader && may_buffer_request(now)) {
    buffered_requests_.emplace_back(make_call());
  } else {
    callback(not_leader());
  }
}

bool ControlTask::awaits_first_leader(Instant now) const {
  const bool has_leader = node_->replica().is_leader() || node_->other_leader(now).has_value();
  return !stopping_ && !has_leader && now - started_at_ < kFirstLeaderTimeout;
}

bool ControlTask::may_buffer_request(Instant now) const {
  return awaits_first_leader(now) && buffered_requests_.size() < kMaxBufferedRequests;
}

void ControlTask::retry_buffered_requests(Instant now) {
  if (buffered_requests_.empty() || awaits_first_leader(now)) {
    return;
  }
  for (const auto& call : std::exchange(buffered_requests_, {})) {
    call();
  }
}

void ControlTask::forward(ForwardedRequests::ForwardedChange said, SteeringCallback callback,
                          std::function<void()> decide_again) {
  forwarded_requests_.add(std::move(said), std::move(callback), std::move(decide_again),
                          monotonic_now() + config_.steering_timeout);
  // What comes in one turn of the loop goes in one message.
  if (!std::exchange(forward_scheduled_, true)) {
    loop_.post([this] { send_forwarded(); });
  }
}

void ControlTask::send_forwarded() {
  forward_scheduled_ = false;
  const ForwardedRegistrations said = forwarded_requests_.take_unsent();
  log_registrations(said.announced, said.ended);
  node_->forward(said);
}

void ControlTask::complete_forwarded(Instant now) {
  forwarded_requests_.complete(*node_, now);
  const Replica& replica = node_->replica();
  forwarded_requests_.set_leader(replica.is_leader() ? config_.address : node_->other_leader(now));
}

void ControlTask::queue_registration(const ForwardedRequests::ForwardedChange& said,
                                     SteeringCallback callback) {
  if (const auto* announced = std::get_if<RegisteredTarget>(&said)) {
    registrations_.announced.push_back(*announced);
  } else {
    registrations_.ended.push_back(std::get<TargetIncarnation>(said));
  }
  registration_callbacks_.push_back(std::move(callback));
  if (registration_callbacks_.size() == 1) {
    loop_.post([this] { propose_registrations(); });
  }
}

void ControlTask::propose_registrations() {
  const RegistrationCommand command = std::exchange(registrations_, {});
  log_registrations(command.announced, command.ended);
  await_proposal(node_->propose(command, monotonic_now()),
                 std::exchange(registration_callbacks_, {}), std::monostate{});
}

void ControlTask::log_registrations(const std::vector<RegisteredTarget>& announced,
                                    const std::vector<TargetIncarnation>& ended) const {
  for (const auto& target : announced) {
    log_event(LogEvent::kTargetAnnounced, {{"target", target.id},
                                           {"pool", target.pool},
                                           {"phase", static_cast<int>(target.phase)},
                                           {"started_at_ms", target.started_at_ms},
                                           {"sequence", target.sequence}});
    log_restart(target);
  }
  for (const TargetIncarnation& life : ended) {
    log_event(LogEvent::kTargetEnded, {{"target", life.id}, {"started_at_ms", life.started_at_ms}});
  }
}

void ControlTask::log_restart(const RegisteredTarget& announced) const {
  const RegisteredTarget* known = find_target(node_->state().fleet().steering, announced.id);
  if (known == nullptr || known->started_at_ms == announced.started_at_ms) {
    return;
  }
  log_event(LogEvent::kTargetRestarted, {{"target", announced.id},
                                         {"started_at_ms", announced.started_at_ms},
                                         {"earlier_started_at_ms", known->started_at_ms},
                                         {"earlier_phase", static_cast<int>(known->phase)}});
}

}  // namespace gorsevalve
