#include "core/steering/zone_path_check.h"

#include <algorithm>
#include <utility>

#include "core/steering/target_reachability.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// Targets that the first round probes: most looks end with its answers.
constexpr std::size_t kFirstRoundSamples = 3;
/// References that the first round probes. Without an answer of it, the look goes no further: where
/// the own link loses much, probes must not add to it.
constexpr std::size_t kFirstRoundReferences = 1;
/// Of this many probes of references ...
constexpr std::uint32_t kReferenceAnswersDenominator = 4;
/// ... this many must be answered: a link that loses so much that all witnesses fall silent loses
/// more of these than one in four.
constexpr std::uint32_t kReferenceAnswersNumerator = 3;
/// The last probes are waited for at least this long, as those of a single target are, and for this
/// multiple of what references took.
constexpr Duration kMinAnswerTimeout = milliseconds(60);
constexpr int kAnswerTimeoutFactor = 4;
/// A look whose steps pause for longer begins again: the balancer stood still, and answers may wait
/// to be read. Shorter than `kAnswerTime`, so that what has come is read before silence counts.
constexpr Duration kMaxStepGap = milliseconds(50);
/// From the last probe; an answer that takes longer comes too late for callers to gain by it.
constexpr Duration kInconclusiveTimeout = milliseconds(400);
/// From the beginning: a balancer that stands still again and again learns nothing.
constexpr Duration kMaxCheckTime = milliseconds(1000);

std::vector<TargetId> first_of(const std::vector<TargetId>& targets, std::size_t count) {
  const auto taken = static_cast<std::ptrdiff_t>(std::min(count, targets.size()));
  return {targets.begin(), targets.begin() + taken};
}

}  // namespace

ZonePathCheck::ZonePathCheck(std::vector<TargetId> witnesses, std::vector<TargetId> references,
                             Instant sent_at, Instant now)
    : samples_(std::move(witnesses)),
      references_(std::move(references)),
      sent_at_(sent_at),
      since_(now),
      probed_at_(now),
      stepped_at_(now) {}

ZonePathCheck::ProbeRound ZonePathCheck::next_round(Instant now) {
  const bool stood_still = now - stepped_at_ > kMaxStepGap;
  stepped_at_ = now;
  if (stood_still) {
    ++attempt_;
    rounds_ = 0;
    reference_probes_ = 0;
    reference_answers_ = 0;
  }
  const bool is_due = rounds_ == 0 || now - probed_at_ >= TargetReachability::kStepInterval;
  if (!is_due || is_last_round() || !may_continue()) {
    return {};
  }
  ++rounds_;
  probed_at_ = now;
  const bool is_first = rounds_ == 1;
  ProbeRound step{first_of(samples_, is_first ? kFirstRoundSamples : kMaxSamples),
                  first_of(references_, is_first ? kFirstRoundReferences : kReferences)};
  probes_ += static_cast<std::uint32_t>(step.samples.size());
  reference_probes_ += static_cast<std::uint32_t>(step.references.size());
  return step;
}

bool ZonePathCheck::may_continue() const {
  return rounds_ != 1 || reference_answers_ > 0 || !needs_references_;
}

void ZonePathCheck::on_reference_answer(Duration took) {
  ++reference_answers_;
  max_reference_rtt_ = std::max(max_reference_rtt_, took);
}

bool ZonePathCheck::is_silence_proven(Instant now) const {
  const bool is_near_heard =
      reference_probes_ > 0 && reference_answers_ * kReferenceAnswersDenominator >=
                                   reference_probes_ * kReferenceAnswersNumerator;
  const Duration allowed = std::max(kMinAnswerTimeout, max_reference_rtt_ * kAnswerTimeoutFactor);
  const bool is_waited_for = is_last_round() && now - probed_at_ >= allowed;
  return is_waited_for && (is_near_heard || !needs_references_);
}

bool ZonePathCheck::is_inconclusive(Instant now) const {
  const bool is_over = is_last_round() && now - probed_at_ > kInconclusiveTimeout;
  const bool is_stuck = rounds_ == 1 && !may_continue() && now - probed_at_ > kMinAnswerTimeout;
  return is_over || is_stuck || now - since_ > kMaxCheckTime;
}

}  // namespace gorsevalve
