#include "core/control/refusal_relay.h"

namespace gorsevalve {

bool RefusalRelay::allows_report(const Endpoint& balancer, Instant now) {
  ReportWindow& claims = report_windows_[balancer];
  if (now - claims.started_at >= kReportWindow) {
    claims = {now, 0};
  }
  return ++claims.count <= kMaxReportedTargets;
}

bool RefusalRelay::mark_relayed(const std::string& zone, FlowToken token, Instant now) {
  const auto [found, is_new] = relayed_at_.try_emplace({zone, token}, now);
  const bool is_due = is_new || now - found->second >= kSuppressionTime;
  if (is_due) {
    found->second = now;
  }
  return is_due;
}

void RefusalRelay::on_observations(const Endpoint& balancer, const std::string& zone,
                                   const std::vector<TargetObservation>& observations,
                                   Instant now) {
  for (const auto& seen : observations) {
    const bool counts = seen.refused_probes > 0 && allows_report(balancer, now);
    if (counts && mark_relayed(zone, seen.token, now)) {
      for_replicas_[zone].insert(seen.token);
      for_balancers_[zone].insert(seen.token);
    }
  }
}

void RefusalRelay::on_relayed(const RefusingTargets& told, Instant now) {
  for (const FlowToken token : told.targets) {
    if (mark_relayed(told.zone, token, now)) {
      for_balancers_[told.zone].insert(token);
    }
  }
}

void RefusalRelay::drop_expired(Instant now) {
  std::erase_if(relayed_at_, [&](const auto& one) { return now - one.second >= kSuppressionTime; });
  std::erase_if(report_windows_,
                [&](const auto& one) { return now - one.second.started_at >= kReportWindow; });
}

std::vector<RefusingTargets> RefusalRelay::take_messages(Pending& pending) {
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

RefusalRelay::Outgoing RefusalRelay::take_outgoing(Instant now) {
  const bool is_empty = for_replicas_.empty() && for_balancers_.empty();
  if (is_empty || now - sent_at_ < kSendInterval) {
    return {};
  }
  sent_at_ = now;
  drop_expired(now);
  return {take_messages(for_replicas_), take_messages(for_balancers_)};
}

}  // namespace gorsevalve
