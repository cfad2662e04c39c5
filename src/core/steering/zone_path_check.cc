#include "core/steering/zone_path_check.h"

#include <algorithm>
#include <utility>

#include "core/steering/target_reachability.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// Samples in the first round: most checks end with their answers.
constexpr std::size_t kFirstRoundSamples = 3;
/// Reference targets in the first round. Without an answer from them the check stops, so that
/// probes add no load to a local link that loses many packets.
constexpr std::size_t kFirstRoundReferences = 1;
/// Denominator of the share of reference probes that must be answered.
constexpr std::uint32_t kReferenceAnswersDenominator = 4;
/// Numerator of that share. A link so lossy that it silences all samples would also lose more than
/// one in four reference probes.
constexpr std::uint32_t kReferenceAnswersNumerator = 3;
/// Timeout of the last probes: at least this time, as for a single target, and at least this
/// multiple of the reference round-trip time.
constexpr Duration kMinAnswerTimeout = milliseconds(60);
constexpr int kAnswerTimeoutFactor = 4;
/// A check restarts if the gap between two steps is longer, because the balancer was paused and
/// answers may be unread. Shorter than `kMinAnswerTimeout`, so that received answers are read
/// before silence counts.
constexpr Duration kMaxStepGap = milliseconds(50);
/// Timeout after the last probe; a later decision would not help clients.
constexpr Duration kInconclusiveTimeout = milliseconds(400);
/// Timeout of the whole check, for a balancer that is paused repeatedly.
constexpr Duration kMaxCheckTime = milliseconds(1000);

std::vector<TargetId> first_of(const std::vector<TargetId>& targets, std::size_t count) {
  const auto taken = static_cast<std::ptrdiff_t>(std::min(count, targets.size()));
  return {targets.begin(), targets.begin() + taken};
}

}  // namespace

ZonePathCheck::ZonePathCheck(std::vector<TargetId> sampled, std::vector<TargetId> references,
                             Instant sent_at, Instant now)
    : samples_(std::move(sampled)),
      references_(std::move(references)),
      sent_at_(sent_at),
      since_(now),
      probed_at_(now),
      stepped_at_(now) {}

ZonePathCheck::ProbeRound ZonePathCheck::next_round(Instant now) {
  const bool was_paused = now - stepped_at_ > kMaxStepGap;
  stepped_at_ = now;
  if (was_paused) {
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
  ProbeRound round{first_of(samples_, is_first ? kFirstRoundSamples : kMaxSamples),
                   first_of(references_, is_first ? kFirstRoundReferences : kReferences)};
  probes_ += static_cast<std::uint32_t>(round.samples.size());
  reference_probes_ += static_cast<std::uint32_t>(round.references.size());
  return round;
}

bool ZonePathCheck::may_continue() const {
  return rounds_ != 1 || reference_answers_ > 0 || !needs_references_;
}

void ZonePathCheck::on_reference_answer(Duration took) {
  ++reference_answers_;
  max_reference_rtt_ = std::max(max_reference_rtt_, took);
}

bool ZonePathCheck::is_silence_proven(Instant now) const {
  const bool has_reference_answers =
      reference_probes_ > 0 && reference_answers_ * kReferenceAnswersDenominator >=
                                   reference_probes_ * kReferenceAnswersNumerator;
  const Duration allowed = std::max(kMinAnswerTimeout, max_reference_rtt_ * kAnswerTimeoutFactor);
  const bool is_answer_timeout_over = is_last_round() && now - probed_at_ >= allowed;
  return is_answer_timeout_over && (has_reference_answers || !needs_references_);
}

bool ZonePathCheck::is_inconclusive(Instant now) const {
  const bool is_timed_out = is_last_round() && now - probed_at_ > kInconclusiveTimeout;
  const bool is_first_round_unanswered =
      rounds_ == 1 && !may_continue() && now - probed_at_ > kMinAnswerTimeout;
  return is_timed_out || is_first_round_unanswered || now - since_ > kMaxCheckTime;
}

}  // namespace gorsevalve
