#include "tasks/metrics.h"

#include <prometheus/text_serializer.h>

namespace gorsevalve {
namespace {

MetricSample counter(std::string name, std::string help, std::uint64_t value) {
  return {"gorsevalve_" + std::move(name) + "_total",
          std::move(help),
          static_cast<double>(value),
          true,
          {}};
}

}  // namespace

std::vector<MetricSample> to_samples(const BalancerCounters& c) {
  std::vector<MetricSample> samples = {
      counter("datagrams_in", "Datagrams received", c.datagrams_in),
      counter("datagrams_malformed", "Datagrams dropped as malformed", c.datagrams_malformed),
      counter("datagrams_unknown_service", "Datagrams for no known service",
              c.datagrams_unknown_service),
      counter("datagrams_relayed", "Datagrams passed to another balancer", c.datagrams_relayed),
      counter("datagrams_without_owner", "Datagrams dropped for want of an owner",
              c.datagrams_without_owner),
      counter("datagrams_hop_limit", "Datagrams dropped after too many relays",
              c.datagrams_hop_limit),
      counter("datagrams_held", "Datagrams held during a takeover", c.datagrams_held),
      counter("datagrams_after_pause", "Datagrams dropped after the process was stopped",
              c.datagrams_after_pause),
      counter("requests", "Requests decided here", c.requests),
      counter("requests_dispatched", "Requests sent to a target", c.requests_dispatched),
      counter("requests_duplicate", "Copies of requests seen before", c.requests_duplicate),
      counter("requests_retried", "Requests sent to a second target", c.requests_retried),
      counter("requests_resent", "Requests sent to the same target again", c.requests_resent),
      counter("answers", "Answers matched to a request", c.answers),
      counter("answers_unmatched", "Answers dropped or passed without a request",
              c.answers_unmatched),
      counter("verdicts_not_run", "Requests given up on and not run", c.verdicts_not_run),
      counter("verdicts_may_have_run", "Requests given up on that may have run",
              c.verdicts_may_have_run),
      counter("flows_placed", "Flows bound to a target", c.flows_placed),
      counter("flows_second_choice", "Flows bound to their second choice", c.flows_second_choice),
      counter("feeds_moved", "Feeds registered at another target", c.feeds_moved),
      counter("feeds_relearned", "Feeds learned from a notification", c.feeds_relearned),
      counter("partitions_taken_over", "Partitions acquired", c.partitions_taken_over),
      counter("partitions_incomplete", "Partitions acquired without all records",
              c.partitions_incomplete),
      counter("partitions_superseded", "Partitions lost to a newer owner", c.partitions_superseded),
      counter("dispatches_blocked", "Dispatches to a target that is not the service's",
              c.dispatches_blocked),
  };
  for (std::size_t i = 0; i < kGiveUpReasons; ++i) {
    samples.push_back(counter("requests_given_up", "Verdicts by reason", c.given_up[i]));
    samples.back().reason = to_string(static_cast<GiveUpReason>(i));
  }
  return samples;
}

std::string render_metrics(const std::vector<MetricSample>& samples) {
  std::vector<prometheus::MetricFamily> families;
  for (const auto& sample : samples) {
    if (families.empty() || families.back().name != sample.name) {
      prometheus::MetricFamily& family = families.emplace_back();
      family.name = sample.name;
      family.help = sample.help;
      family.type =
          sample.is_counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
    }
    prometheus::ClientMetric metric;
    if (!sample.reason.empty()) {
      metric.label.push_back({"reason", sample.reason});
    }
    metric.counter.value = sample.value;
    metric.gauge.value = sample.value;
    families.back().metric.push_back(metric);
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace gorsevalve
