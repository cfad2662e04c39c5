#include "core/balancer/state_freshness.h"

#include <algorithm>

namespace gorsevalve {

void StateFreshness::on_current_reply(Instant sent_at, Revision held) {
  if (held <= applied_) {
    confirmed_at_ = std::max(confirmed_at_.value_or(sent_at), sent_at);
    return;
  }
  if (!pending_) {
    pending_ = {sent_at, held};
  }
}

void StateFreshness::on_applied(Revision revision) {
  applied_ = revision;
  if (!pending_ || pending_->revision > revision) {
    return;
  }
  const PendingReply arrived = *pending_;
  pending_.reset();
  on_current_reply(arrived.sent_at, arrived.revision);
}

}  // namespace gorsevalve
