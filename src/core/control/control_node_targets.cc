/// The control node's part that hears targets: what of it is news, what the committed state holds,
/// and what followers pass on to the leader.
#include <algorithm>
#include <iterator>
#include <utility>

#include "core/control/control_node.h"
#include "core/control/target_lives.h"

namespace gorsevalve {
namespace {

/// Pause between two looks at the silence of targets.
constexpr Duration kConclusionInterval = std::chrono::milliseconds(500);

}  // namespace

AnnouncementStatus ControlNode::hear(const RegisteredTarget& announced, Instant now) {
  if (!replica_->is_current(now) || !reaches_leader(now)) {
    return AnnouncementStatus::kNotLeader;
  }
  const RegisteredTarget* known = find_target(state_.fleet().steering, announced.id);
  const bool says_news = is_news(announced, known);
  const bool leads = replica_->is_leader();
  // A late copy of an earlier life is no sign of the one that is known.
  const bool is_believed = says_news || known->life() == announced.life();
  if (is_believed && leads) {
    registrations_.on_heard(announced.life(), now);
  } else if (is_believed) {
    heard_targets_[announced.id] = {announced.started_at_ms, now};
  }
  if (!says_news) {
    return AnnouncementStatus::kHeld;
  }
  return leads ? AnnouncementStatus::kNews : AnnouncementStatus::kForward;
}

TargetLife ControlNode::life_to_end(TargetId id, std::optional<TargetStart> started_at_ms,
                                    TargetStart unix_now_ms) const {
  if (started_at_ms) {
    return {id, *started_at_ms};
  }
  const RegisteredTarget* known = find_target(state_.fleet().steering, id);
  return known == nullptr ? TargetLife{id, unix_now_ms} : known->life();
}

AnnouncementStatus ControlNode::hear_end(const TargetLife& life, Instant now) const {
  if (!replica_->is_current(now) || !reaches_leader(now)) {
    return AnnouncementStatus::kNotLeader;
  }
  if (holds(life)) {
    return AnnouncementStatus::kHeld;
  }
  return replica_->is_leader() ? AnnouncementStatus::kNews : AnnouncementStatus::kForward;
}

bool ControlNode::holds(const RegisteredTarget& announced) const {
  const RegisteredTarget* known = find_target(state_.fleet().steering, announced.id);
  return !is_news(announced, known);
}

bool ControlNode::holds(const TargetLife& ended) const {
  const RegisteredTarget* known = find_target(state_.fleet().steering, ended.id);
  if (known == nullptr) {
    return false;
  }
  const LifeOrder order = compare_lives(ended.started_at_ms, known->started_at_ms);
  return order == LifeOrder::kEarlier ||
         (order == LifeOrder::kSame && known->phase == TargetPhase::kEnded);
}

void ControlNode::forward(const ForwardedRegistrations& said) {
  const std::optional<Endpoint> leader = replica_->leader_address();
  if (leader && !replica_->is_leader() && !said.empty()) {
    output_.send_node(*leader, said);
  }
}

void ControlNode::propose_forwarded(Instant now) {
  const RegistrationCommand command = std::exchange(forwarded_, {});
  if (!command.empty() && replica_->has_lease(now)) {
    propose(command, now);
  }
}

void ControlNode::lead_registrations(Instant now) {
  if (now < next_conclusion_) {
    return;
  }
  next_conclusion_ = now + kConclusionInterval;
  const RegistrationCommand conclusion = registrations_.conclude(state_.fleet().steering, now);
  if (!conclusion.empty()) {
    propose(conclusion, now);
  }
}

void ControlNode::handle(const Endpoint& /*from*/, const ForwardedRegistrations& said,
                         Instant now) {
  if (!replica_->has_lease(now)) {
    return;
  }
  for (const auto& announced : said.announced) {
    if (!holds(announced)) {
      registrations_.on_heard(announced.life(), now);
      forwarded_.announced.push_back(announced);
    }
  }
  std::copy_if(said.ended.begin(), said.ended.end(), std::back_inserter(forwarded_.ended),
               [this](const TargetLife& life) { return !holds(life); });
}

}  // namespace gorsevalve
