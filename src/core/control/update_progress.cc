#include "core/control/update_progress.h"

namespace gorsevalve {
namespace {

/// An update that is not confirmed after this long was lost: longer than the pause between two
/// heartbeats and a way there and back.
constexpr Duration kConfirmationTimeout = std::chrono::milliseconds(700);

}  // namespace

bool UpdateProgress::is_overtaken(const NodeHeartbeat& heartbeat) const {
  return heartbeat.member.incarnation == incarnation_ && heartbeat.sequence < sequence_;
}

void UpdateProgress::on_heartbeat(const NodeHeartbeat& heartbeat, Instant now) {
  if (is_overtaken(heartbeat)) {
    return;
  }
  sequence_ = heartbeat.sequence;
  if (heartbeat.member.incarnation != incarnation_ || heartbeat.session != session_) {
    incarnation_ = heartbeat.member.incarnation;
    session_ = heartbeat.session;
    sent_ = 0;
    awaited_ = 0;
    return;
  }
  if (awaited_ == 0 || heartbeat.revision < awaited_) {
    return;
  }
  awaited_ = 0;
  if (heartbeat.revision < sent_) {
    // Not the earliest update after it, so the wait is rather too long, by one heartbeat at most.
    await(sent_, now);
  }
}

void UpdateProgress::on_pushed(Revision revision, Instant now) {
  sent_ = revision;
  if (awaited_ == 0) {
    await(revision, now);
  }
}

void UpdateProgress::on_repaired(Revision revision, Instant now) {
  sent_ = revision;
  await(revision, now);
}

void UpdateProgress::on_in_force(Revision revision) {
  sent_ = revision;
  awaited_ = 0;
}

bool UpdateProgress::is_under_way(Revision revision, Instant now) const {
  return awaited_ != 0 && sent_ == revision && now - awaited_since_ < kConfirmationTimeout;
}

void UpdateProgress::await(Revision revision, Instant now) {
  awaited_ = revision;
  awaited_since_ = now;
}

}  // namespace gorsevalve
