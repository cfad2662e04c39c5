#include "core/steering/zone_look.h"

#include <algorithm>
#include <utility>

#include "core/steering/target_reachability.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// Targets that the first round probes: most looks end with its answers.
constexpr std::size_t kFirstWitnesses = 3;
/// References that the first round probes. Without an answer of it, the look goes no further: where
/// the own link loses much, probes must not add to it.
constexpr std::size_t kFirstReferences = 1;
/// Of this many probes of references ...
constexpr std::uint32_t kReferenceParts = 4;
/// ... this many must be answered: a link that loses so much that all witnesses fall silent loses
/// more of these than one in four.
constexpr std::uint32_t kReferenceNeeded = 3;
/// The last probes are waited for at least this long, as those of a single target are, and for this
/// multiple of what references took.
constexpr Duration kAnswerTime = milliseconds(60);
constexpr int kAnswerTimes = 4;
/// A look whose steps pause for longer begins again: the balancer stood still, and answers may wait
/// to be read. Shorter than `kAnswerTime`, so that what has come is read before silence counts.
constexpr Duration kStandstill = milliseconds(50);
/// From the last probe; an answer that takes longer comes too late for callers to gain by it.
constexpr Duration kUndecidedAfter = milliseconds(400);
/// From the beginning: a balancer that stands still again and again learns nothing.
constexpr Duration kMaxTime = milliseconds(1000);

std::vector<TargetId> first_of(const std::vector<TargetId>& targets, std::size_t count) {
  const auto taken = static_cast<std::ptrdiff_t>(std::min(count, targets.size()));
  return {targets.begin(), targets.begin() + taken};
}

}  // namespace

ZoneLook::ZoneLook(std::vector<TargetId> witnesses, std::vector<TargetId> references,
                   Instant sent_at, Instant now)
    : witnesses_(std::move(witnesses)),
      references_(std::move(references)),
      sent_at_(sent_at),
      since_(now),
      probed_at_(now),
      stepped_at_(now) {}

ZoneLook::Step ZoneLook::step(Instant now) {
  const bool stood_still = now - stepped_at_ > kStandstill;
  stepped_at_ = now;
  if (stood_still) {
    ++attempt_;
    rounds_ = 0;
    reference_probes_ = 0;
    reference_answers_ = 0;
  }
  const bool is_due = rounds_ == 0 || now - probed_at_ >= TargetReachability::kStepInterval;
  if (!is_due || is_last_round() || !may_go_on()) {
    return {};
  }
  ++rounds_;
  probed_at_ = now;
  const bool is_first = rounds_ == 1;
  Step step{first_of(witnesses_, is_first ? kFirstWitnesses : kWitnesses),
            first_of(references_, is_first ? kFirstReferences : kReferences)};
  probes_ += static_cast<std::uint32_t>(step.witnesses.size());
  reference_probes_ += static_cast<std::uint32_t>(step.references.size());
  return step;
}

bool ZoneLook::may_go_on() const {
  return rounds_ != 1 || reference_answers_ > 0 || !needs_references_;
}

void ZoneLook::on_reference_answer(Duration took) {
  ++reference_answers_;
  reference_took_ = std::max(reference_took_, took);
}

bool ZoneLook::is_proven(Instant now) const {
  const bool is_near_heard = reference_probes_ > 0 && reference_answers_ * kReferenceParts >=
                                                          reference_probes_ * kReferenceNeeded;
  const Duration allowed = std::max(kAnswerTime, reference_took_ * kAnswerTimes);
  const bool is_waited_for = is_last_round() && now - probed_at_ >= allowed;
  return is_waited_for && (is_near_heard || !needs_references_);
}

bool ZoneLook::is_undecided(Instant now) const {
  const bool is_over = is_last_round() && now - probed_at_ > kUndecidedAfter;
  const bool is_stuck = rounds_ == 1 && !may_go_on() && now - probed_at_ > kAnswerTime;
  return is_over || is_stuck || now - since_ > kMaxTime;
}

}  // namespace gorsevalve
