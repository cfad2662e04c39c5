#include "core/control/refusal_relay.h"

namespace gorsevalve {

bool RefusalRelay::allows_report(const Endpoint& balancer, Instant now) {
  ReportWindow& window = report_windows_[balancer];
  if (now - window.started_at >= kReportWindow) {
    window = {now, 0};
  }
  return ++window.count <= kMaxReportedTargets;
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
                                   const std::vector<TargetStatistics>& observations, Instant now) {
  for (const auto& observation : observations) {
    const bool is_reported = observation.refused_probes > 0 && allows_report(balancer, now);
    if (is_reported && mark_relayed(zone, observation.token, now)) {
      for_replicas_[zone].insert(observation.token);
      for_balancers_[zone].insert(observation.token);
    }
  }
}

void RefusalRelay::on_relayed(const RefusingTargets& relayed, Instant now) {
  for (const FlowToken token : relayed.targets) {
    if (mark_relayed(relayed.zone, token, now)) {
      for_balancers_[relayed.zone].insert(token);
    }
  }
}

void RefusalRelay::drop_expired(Instant now) {
  std::erase_if(relayed_at_,
                [&](const auto& item) { return now - item.second >= kSuppressionTime; });
  std::erase_if(report_windows_,
                [&](const auto& item) { return now - item.second.started_at >= kReportWindow; });
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
  std::erase_if(pending, [](const auto& item) { return item.second.empty(); });
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
