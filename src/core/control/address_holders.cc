#include "core/control/address_holders.h"

#include <algorithm>

namespace gorsevalve {

const AddressClaim* AddressHolders::heard_last(const std::vector<AddressClaim>& claims) {
  const AddressClaim* last = nullptr;
  for (const AddressClaim& claim : claims) {
    const bool counts = claim.may_hold && claim.heard_at;
    if (counts && (last == nullptr || *claim.heard_at > *last->heard_at)) {
      last = &claim;
    }
  }
  return last;
}

bool AddressHolders::is_other_heard(const std::vector<AddressClaim>& claims,
                                    const Candidate& candidate) {
  return std::any_of(claims.begin(), claims.end(), [&](const AddressClaim& claim) {
    const bool is_other = claim.incarnation != candidate.incarnation;
    return is_other && claim.heard_at && *claim.heard_at >= candidate.heard_from;
  });
}

bool AddressHolders::is_observed(const TargetIncarnation& target) const {
  return std::find(observed_.begin(), observed_.end(), target) != observed_.end();
}

bool AddressHolders::is_holder(const std::vector<AddressClaim>& claims, const AddressClaim& last,
                               Candidate& candidate) const {
  const bool is_continued = candidate.incarnation == last.incarnation &&
                            *last.heard_at - candidate.heard_until <= observation_time_;
  if (!is_continued || is_other_heard(claims, candidate)) {
    candidate = {last.incarnation, *last.heard_at, *last.heard_at};
  }
  candidate.heard_until = *last.heard_at;
  return candidate.heard_until - candidate.heard_from >= observation_time_;
}

std::vector<TargetIncarnation> AddressHolders::find_replaced(const AddressClaims& shared) {
  std::erase_if(candidates_, [&](const auto& one) { return !shared.contains(one.first); });
  std::vector<TargetIncarnation> replaced;
  for (const auto& [address, claims] : shared) {
    const AddressClaim* last = heard_last(claims);
    if (last == nullptr) {
      continue;
    }
    const bool is_decided = is_holder(claims, *last, candidates_[address]);
    for (const AddressClaim& claim : claims) {
      const bool is_other = claim.incarnation != last->incarnation;
      if (is_other && (is_decided || is_observed(claim.incarnation))) {
        replaced.push_back(claim.incarnation);
      }
    }
  }
  observed_.clear();
  return replaced;
}

}  // namespace gorsevalve
