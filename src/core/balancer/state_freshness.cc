#include "core/balancer/state_freshness.h"

#include <algorithm>

namespace gorsevalve {

void StateFreshness::on_answer(Instant sent_at, Revision held) {
  if (held <= in_force_) {
    confirmed_at_ = std::max(confirmed_at_.value_or(sent_at), sent_at);
    return;
  }
  if (!awaited_) {
    awaited_ = {sent_at, held};
  }
}

void StateFreshness::on_in_force(Revision revision) {
  in_force_ = revision;
  if (!awaited_ || awaited_->revision > revision) {
    return;
  }
  const Awaited arrived = *awaited_;
  awaited_.reset();
  on_answer(arrived.sent_at, arrived.revision);
}

}  // namespace gorsevalve
