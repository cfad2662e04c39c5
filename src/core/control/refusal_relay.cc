#include "core/control/refusal_relay.h"

namespace gorsevalve {

bool RefusalRelay::may_claim(const Endpoint& balancer, Instant now) {
  Claims& claims = claims_[balancer];
  if (now - claims.since >= kClaimTime) {
    claims = {now, 0};
  }
  return ++claims.count <= kMaxClaims;
}

bool RefusalRelay::note(const std::string& zone, FlowToken token, Instant now) {
  const auto [found, is_new] = noted_.try_emplace({zone, token}, now);
  const bool is_due = is_new || now - found->second >= kToldFor;
  if (is_due) {
    found->second = now;
  }
  return is_due;
}

void RefusalRelay::on_observed(const Endpoint& balancer, const std::string& zone,
                               const std::vector<TargetObservation>& observations, Instant now) {
  for (const auto& seen : observations) {
    const bool counts = seen.refusing > 0 && may_claim(balancer, now);
    if (counts && note(zone, seen.token, now)) {
      for_replicas_[zone].insert(seen.token);
      for_balancers_[zone].insert(seen.token);
    }
  }
}

void RefusalRelay::on_told(const RefusingTargets& told, Instant now) {
  for (const FlowToken token : told.targets) {
    if (note(told.zone, token, now)) {
      for_balancers_[told.zone].insert(token);
    }
  }
}

void RefusalRelay::drop_old(Instant now) {
  std::erase_if(noted_, [&](const auto& one) { return now - one.second >= kToldFor; });
  std::erase_if(claims_, [&](const auto& one) { return now - one.second.since >= kClaimTime; });
}

std::vector<RefusingTargets> RefusalRelay::take(Pending& pending) {
  std::vector<RefusingTargets> messages;
  for (auto& [zone, tokens] : pending) {
    RefusingTargets message{zone, {}};
    while (!tokens.empty() && message.targets.size() < kMaxTargets) {
      message.targets.push_back(tokens.extract(tokens.begin()).value());
    }
    messages.push_back(std::move(message));
  }
  std::erase_if(pending, [](const auto& one) { return one.second.empty(); });
  return messages;
}

RefusalRelay::Due RefusalRelay::take_due(Instant now) {
  const bool is_empty = for_replicas_.empty() && for_balancers_.empty();
  if (is_empty || now - sent_at_ < kPause) {
    return {};
  }
  sent_at_ = now;
  drop_old(now);
  return {take(for_replicas_), take(for_balancers_)};
}

}  // namespace gorsevalve
