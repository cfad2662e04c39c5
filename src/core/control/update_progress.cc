#include "core/control/update_progress.h"

namespace gorsevalve {
namespace {

/// An update that is not confirmed after this long was lost: longer than the pause between two
/// heartbeats and a way there and back.
constexpr Duration kConfirmationTimeout = std::chrono::milliseconds(700);

}  // namespace

void UpdateProgress::on_heartbeat(std::uint64_t incarnation, Revision confirmed, Instant now) {
  if (incarnation != incarnation_) {
    *this = {};
    incarnation_ = incarnation;
    return;
  }
  if (awaited_ == 0 || confirmed < awaited_) {
    return;
  }
  awaited_ = 0;
  if (confirmed < sent_) {
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
