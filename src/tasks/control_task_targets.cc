/// The part of the control task that handles announcements and ends of targets: the leader proposes
/// them, other replicas forward them to the leader.
#include <utility>

#include "tasks/control_task.h"
#include "tasks/log.h"

namespace gorsevalve {
namespace {

/// Requests of targets are buffered for this long after the start while there is no leader.
/// Rejecting them would make all targets retry at other replicas, and that load would delay the
/// election.
/// Shorter than the request timeout of a target (1 s).
constexpr Duration kFirstLeaderTimeout = std::chrono::milliseconds(800);
/// Limit of buffered requests; further ones are rejected.
constexpr std::size_t kMaxBufferedRequests = 4096;

}  // namespace

void ControlTask::announce(RegisteredTarget announced, CommandCallback callback) {
  const Instant now = monotonic_now();
  const AnnouncementStatus status =
      stopping_ ? AnnouncementStatus::kNotLeader : node_->on_announcement(announced, now);
  handle_target_request(status, announced, callback, now, [&] {
    return [this, announced, callback] { announce(announced, callback); };
  });
}

void ControlTask::end_target(TargetId id, std::optional<TargetStart> started_at_ms,
                             CommandCallback callback) {
  const Instant now = monotonic_now();
  const TargetIncarnation incarnation = node_->incarnation_to_end(id, started_at_ms, unix_now_ms());
  const AnnouncementStatus status =
      stopping_ ? AnnouncementStatus::kNotLeader : node_->check_target_end(incarnation, now);
  handle_target_request(status, incarnation, callback, now, [&] {
    return [this, id, started_at_ms, callback] { end_target(id, started_at_ms, callback); };
  });
}

template <typename Change, typename MakeRetry>
void ControlTask::handle_target_request(AnnouncementStatus status, const Change& change,
                                        const CommandCallback& callback, Instant now,
                                        const MakeRetry& make_retry) {
  if (status == AnnouncementStatus::kCommitted) {
    callback({CommandStatus::kAcknowledged, std::nullopt});
  } else if (status == AnnouncementStatus::kPropose) {
    queue_registration(change, callback);
  } else if (status == AnnouncementStatus::kForward && !forwarded_requests_.is_full()) {
    forward(change, callback, make_retry());
  } else if (status == AnnouncementStatus::kNotLeader && may_buffer_request(now)) {
    buffered_requests_.emplace_back(make_retry());
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
  for (const auto& retry : std::exchange(buffered_requests_, {})) {
    retry();
  }
}

void ControlTask::forward(ForwardedRequests::ForwardedChange change, CommandCallback callback,
                          std::function<void()> retry) {
  forwarded_requests_.add(std::move(change), std::move(callback), std::move(retry),
                          monotonic_now() + config_.steering_timeout);
  // Requests of one iteration of the loop are sent in one message.
  if (!std::exchange(forward_scheduled_, true)) {
    loop_.post([this] { send_forwarded(); });
  }
}

void ControlTask::send_forwarded() {
  forward_scheduled_ = false;
  const ForwardedRegistrations registrations = forwarded_requests_.take_unsent();
  log_registrations(registrations.announced, registrations.ended);
  node_->forward(registrations);
}

void ControlTask::complete_forwarded(Instant now) {
  forwarded_requests_.complete(*node_, now);
  const Replica& replica = node_->replica();
  forwarded_requests_.set_leader(replica.is_leader() ? config_.address : node_->other_leader(now));
}

void ControlTask::queue_registration(const ForwardedRequests::ForwardedChange& change,
                                     CommandCallback callback) {
  if (const auto* announced = std::get_if<RegisteredTarget>(&change)) {
    registrations_.announced.push_back(*announced);
  } else {
    registrations_.ended.push_back(std::get<TargetIncarnation>(change));
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
  for (const TargetIncarnation& incarnation : ended) {
    log_event(LogEvent::kTargetEnded,
              {{"target", incarnation.id}, {"started_at_ms", incarnation.started_at_ms}});
  }
}

void ControlTask::on_targets_replaced(const std::vector<TargetIncarnation>& replaced) {
  for (const TargetIncarnation& incarnation : replaced) {
    const RegisteredTarget* known = find_target(node_->state().fleet().steering, incarnation.id);
    log_event(LogEvent::kTargetReplaced,
              {{"target", incarnation.id},
               {"started_at_ms", incarnation.started_at_ms},
               {"address", known == nullptr ? std::string{} : to_string(known->address)}});
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
