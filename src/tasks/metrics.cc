#include "tasks/metrics.h"

#include <prometheus/text_serializer.h>

#include "tasks/log.h"

namespace gorsevalve {

MetricSample counter(std::string name, std::string help, std::uint64_t value) {
  return {"gorsevalve_" + std::move(name) + "_total",
          std::move(help),
          static_cast<double>(value),
          true,
          {}};
}

namespace {

MetricSample gauge(std::string name, std::string help, double value) {
  return {"gorsevalve_" + std::move(name), std::move(help), value, false, {}};
}

void add_dropped_log_lines(std::vector<MetricSample>& samples) {
  const DroppedLines dropped = dropped_log_lines();
  samples.push_back(counter("log_lines_dropped",
                            "Log lines dropped because the reader was too slow, by class",
                            dropped[static_cast<std::size_t>(LogClass::kRoutine)]));
  samples.back().reason = "routine";
  samples.push_back(counter("log_lines_dropped",
                            "Log lines dropped because the reader was too slow, by class",
                            dropped[static_cast<std::size_t>(LogClass::kState)]));
  samples.back().reason = "state";
}

void add_frame_metrics(std::vector<MetricSample>& samples, const FrameCounters& frames) {
  samples.push_back(counter("connections_given_up",
                            "Connections closed because the peer did not reply in time",
                            frames.connections_timed_out));
  samples.push_back(counter("connections_idle_closed",
                            "Accepted connections closed after the idle timeout",
                            frames.idle_closed));
  samples.push_back(counter("frames_dropped", "Messages to peers dropped, by reason",
                            frames.dropped_without_connection));
  samples.back().reason = "no_connection";
  samples.push_back(
      counter("frames_dropped", "Messages to peers dropped, by reason", frames.dropped_queue_full));
  samples.back().reason = "full";
}

double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

MetricSample with_reason(MetricSample sample, std::string reason) {
  sample.reason = std::move(reason);
  return sample;
}

void add_link_metrics(std::vector<MetricSample>& samples, const LinkShaper& link) {
  const LinkScheduler& scheduler = link.scheduler();
  const BulkAdmission& admission = link.admission();
  const LinkCounters& counters = scheduler.counters();
  const char* const sent =
      "Packets sent to targets over a link of known rate, by whether they were queued";
  const char* const dropped = "Queued packets dropped, by reason";
  const char* const openings = "New bulk flows, by admission result";
  samples.insert(
      samples.end(),
      {gauge("link_octets_per_second",
             "Rate of the machine's link in bytes per second; 0 if unknown", link.model().rate()),
       gauge("link_use", "Utilization of the machine's link, 0 to 1",
             link.model().send_utilization(monotonic_now())),
       gauge("link_packets_waiting", "Packets queued for the link",
             static_cast<double>(scheduler.queued_packets())),
       with_reason(counter("link_packets_sent", sent, counters.sent_immediately), "at_once"),
       with_reason(counter("link_packets_sent", sent, counters.sent_after_queueing), "waited"),
       counter("link_copies_spared",
               "Retransmissions suppressed because the packet was queued or recently sent",
               counters.retransmissions_suppressed),
       with_reason(counter("link_packets_dropped", dropped, counters.dropped_queue_full), "full"),
       with_reason(counter("link_packets_dropped", dropped, counters.dropped_expired), "given_up"),
       gauge("link_bulk_flows", "Open bulk flows on the link",
             static_cast<double>(admission.flows())),
       with_reason(counter("link_bulk_openings", openings, admission.admitted()), "admitted"),
       with_reason(counter("link_bulk_openings", openings, admission.rejected()), "refused")});
}

}  // namespace

std::vector<MetricSample> to_samples(const SteeringTask& task) {
  const SteeringCounters& counters = task.counters();
  std::vector<MetricSample> samples = {
      counter("datagrams_malformed", "Datagrams dropped as malformed", counters.malformed),
      counter("messages_refused", "Messages rejected as not authentic", counters.messages_rejected),
      counter("updates_refused",
              "Updates rejected because they are not based on the applied revision",
              counters.updates_rejected),
      counter("resets", "Resets sent to clients", counters.resets),
      counter("target_probes", "Probes sent to targets", task.probes_sent()),
      gauge("targets_unreachable", "Targets unreachable from this balancer",
            static_cast<double>(task.steering().unreachable_targets())),
      gauge("targets_cold", "Targets that are warming up",
            static_cast<double>(task.steering().warm_up().size())),
      counter("warm_up_flows", "Flows placed at targets that are warming up",
              task.steering().warm_up().counters().placed),
      counter("warm_up_passed_over", "Flows for which a target that is warming up was skipped",
              task.steering().warm_up().counters().skipped),
      counter("warm_up_refused",
              "Flows rejected because only targets that are warming up were left",
              task.steering().warm_up().counters().rejected),
      counter("warm_up_places_doubted", "Implausible ranks among balancers",
              task.steering().warm_up().counters().implausible_ranks),
      counter("placement_targets_looked_at", "Targets examined to place new flows",
              task.steering().placement_counters().targets_examined),
      counter("placement_whole_pools", "New flows whose sample of the pool had no suitable target",
              task.steering().placement_counters().full_scans),
      gauge("zones_cut_off", "Zones unreachable from this balancer",
            static_cast<double>(task.steering().zone_paths().cut_count())),
      gauge("flows", "Recently active flows", static_cast<double>(task.steering().flows())),
      gauge("ready", "1 while routers may send packets", task.is_ready() ? 1 : 0),
      gauge("revision", "Applied revision", static_cast<double>(task.fleet().revision)),
      gauge("revisions_behind", "Revisions that the chosen replica is ahead of this balancer",
            static_cast<double>(task.revisions_behind())),
      gauge("state_age_seconds", "Time since the applied state was last known to be the newest",
            seconds(task.state_age(monotonic_now()))),
      gauge("operator_version", "Applied operator version",
            static_cast<double>(task.fleet().steering.settings.version)),
      gauge("targets", "Known targets", static_cast<double>(task.fleet().steering.targets.size())),
      gauge("zones_evacuated", "Evacuated zones, where this balancer places no new flows",
            static_cast<double>(task.fleet().steering.evacuated_zones.size())),
  };
  for (std::size_t i = 0; i < kSteeringReasons; ++i) {
    samples.push_back(
        counter("packets_decided", "Packets by reason of the decision", counters.packets[i]));
    samples.back().reason = to_string(static_cast<SteeringReason>(i));
  }
  add_link_metrics(samples, task.link());
  add_frame_metrics(samples, task.frames());
  add_dropped_log_lines(samples);
  return samples;
}

std::vector<MetricSample> to_samples(const ControlTask& task) {
  const ControlNode& node = task.node();
  const Replica& replica = node.replica();
  std::vector<MetricSample> samples = {
      gauge("leader", "1 while this replica is the leader", replica.is_leader() ? 1 : 0),
      gauge("term", "Election term", static_cast<double>(replica.term())),
      gauge("commit_index", "Index of the last committed entry",
            static_cast<double>(replica.commit_index())),
      gauge("last_index", "Index of the last entry in the log",
            static_cast<double>(replica.last_index())),
      gauge("replicas", "Voters and learners in the replica set",
            static_cast<double>(replica.replicas().replicas.size())),
      gauge("revision", "Revision of the committed state",
            static_cast<double>(node.state().fleet().revision)),
      gauge("operator_version", "Committed operator version",
            static_cast<double>(node.state().fleet().steering.settings.version)),
      gauge("zones_evacuated", "Evacuated zones in the committed state",
            static_cast<double>(node.state().fleet().steering.evacuated_zones.size())),
      gauge("balancers_served", "Balancers subscribed to this replica",
            static_cast<double>(node.balancers_served())),
      counter("updates_repeated", "Updates retransmitted to balancers",
              task.updates_retransmitted()),
  };
  add_frame_metrics(samples, task.frames());
  add_dropped_log_lines(samples);
  return samples;
}

std::vector<MetricSample> to_samples(const BalancerCounters& c) {
  std::vector<MetricSample> samples = {
      counter("datagrams_in", "Datagrams received", c.datagrams_in),
      counter("datagrams_malformed", "Datagrams dropped as malformed", c.datagrams_malformed),
      counter("datagrams_unknown_service", "Datagrams for no known service",
              c.datagrams_unknown_service),
      counter("datagrams_relayed", "Datagrams relayed to another balancer", c.datagrams_relayed),
      counter("datagrams_without_owner", "Datagrams dropped because their partition has no owner",
              c.datagrams_without_owner),
      counter("datagrams_hop_limit", "Datagrams dropped after too many relays",
              c.datagrams_hop_limit),
      counter("datagrams_held", "Datagrams buffered during a takeover", c.datagrams_held),
      counter("datagrams_after_pause", "Datagrams dropped after a pause of the process",
              c.datagrams_after_pause),
      counter("requests", "Requests handled by this balancer", c.requests),
      counter("requests_dispatched", "Requests sent to a target", c.requests_dispatched),
      counter("requests_duplicate", "Duplicate requests", c.requests_duplicate),
      counter("requests_retried", "Requests sent to a second target", c.requests_retried),
      counter("requests_resent", "Requests retransmitted to the same target", c.requests_resent),
      counter("answers", "Responses matched to a request", c.answers),
      counter("answers_unmatched", "Responses without a matching request", c.answers_unmatched),
      counter("verdicts_not_run", "Failed requests that were not run", c.verdicts_not_run),
      counter("verdicts_may_have_run", "Failed requests that may have run",
              c.verdicts_may_have_run),
      counter("flows_placed", "Flows bound to a target", c.flows_placed),
      counter("flows_second_choice", "Flows bound to the second-choice target",
              c.flows_second_choice),
      counter("feeds_moved", "Observations registered at another target", c.feeds_moved),
      counter("feeds_relearned", "Observations recreated from a notification", c.feeds_relearned),
      counter("partitions_taken_over", "Partitions acquired", c.partitions_taken_over),
      counter("partitions_incomplete", "Partitions acquired without all records",
              c.partitions_incomplete),
      counter("partitions_superseded", "Partitions lost to a newer owner", c.partitions_superseded),
      counter("dispatches_blocked",
              "Dispatches blocked because the target does not belong to the service",
              c.dispatches_blocked),
  };
  for (std::size_t i = 0; i < kFailureReasonCount; ++i) {
    samples.push_back(counter("requests_given_up", "Failed requests by reason", c.given_up[i]));
    samples.back().reason = to_string(static_cast<FailureReason>(i));
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
