#include "core/balancer/state_freshness.h"

#include <algorithm>

namespace gorsevalve {

void StateFreshness::on_current_reply(Instant sent_at, Revision held_revision) {
  if (held_revision <= applied_) {
    confirmed_at_ = std::max(confirmed_at_.value_or(sent_at), sent_at);
    return;
  }
  if (!pending_) {
    pending_ = {sent_at, held_revision};
  }
}

void StateFreshness::on_applied(Revision revision) {
  applied_ = revision;
  if (!pending_ || pending_->revision > revision) {
    return;
  }
  const PendingReply applied_reply = *pending_;
  pending_.reset();
  on_current_reply(applied_reply.sent_at, applied_reply.revision);
}

}  // namespace gorsevalve
