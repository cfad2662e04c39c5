#include "core/control/update_progress.h"

namespace gorsevalve {
namespace {

/// An update without acknowledgement for this long counts as lost. Exceeds a heartbeat interval
/// plus a round trip.
constexpr Duration kAckTimeout = std::chrono::milliseconds(700);

}  // namespace

bool UpdateProgress::is_out_of_order(const NodeHeartbeat& heartbeat) const {
  return heartbeat.member.incarnation == incarnation_ && heartbeat.sequence < sequence_;
}

void UpdateProgress::on_heartbeat(const NodeHeartbeat& heartbeat, Instant now) {
  if (is_out_of_order(heartbeat)) {
    return;
  }
  sequence_ = heartbeat.sequence;
  if (heartbeat.member.incarnation != incarnation_ || heartbeat.session != session_) {
    incarnation_ = heartbeat.member.incarnation;
    session_ = heartbeat.session;
    sent_revision_ = 0;
    unacked_revision_ = 0;
    return;
  }
  if (unacked_revision_ == 0 || heartbeat.revision < unacked_revision_) {
    return;
  }
  unacked_revision_ = 0;
  if (heartbeat.revision < sent_revision_) {
    // The earliest remaining update is not recorded, so the timer restarts at the latest one. This
    // extends the timeout by at most one heartbeat interval.
    start_ack_timer(sent_revision_, now);
  }
}

void UpdateProgress::on_pushed(Revision revision, Instant now) {
  sent_revision_ = revision;
  if (unacked_revision_ == 0) {
    start_ack_timer(revision, now);
  }
}

void UpdateProgress::on_catch_up_sent(Revision revision, Instant now) {
  sent_revision_ = revision;
  start_ack_timer(revision, now);
}

void UpdateProgress::on_applied(Revision revision) {
  sent_revision_ = revision;
  unacked_revision_ = 0;
}

bool UpdateProgress::is_in_flight(Revision revision, Instant now) const {
  return unacked_revision_ != 0 && sent_revision_ == revision && now - unacked_since_ < kAckTimeout;
}

void UpdateProgress::start_ack_timer(Revision revision, Instant now) {
  unacked_revision_ = revision;
  unacked_since_ = now;
}

}  // namespace gorsevalve
