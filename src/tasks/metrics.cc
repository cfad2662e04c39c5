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
  samples.push_back(counter("log_lines_dropped", "Log lines dropped for a slow reader, by class",
                            dropped[static_cast<std::size_t>(LogClass::kRoutine)]));
  samples.back().reason = "routine";
  samples.push_back(counter("log_lines_dropped", "Log lines dropped for a slow reader, by class",
                            dropped[static_cast<std::size_t>(LogClass::kState)]));
  samples.back().reason = "state";
}

void add_frame_metrics(std::vector<MetricSample>& samples, const FrameCounters& frames) {
  samples.push_back(counter("connections_given_up", "Connections without an answer for long",
                            frames.connections_timed_out));
  samples.push_back(counter("connections_idle_closed",
                            "Accepted connections over which nothing came for long",
                            frames.idle_closed));
  samples.push_back(counter("frames_dropped", "Messages to peers that were dropped, by reason",
                            frames.dropped_without_connection));
  samples.back().reason = "no_connection";
  samples.push_back(counter("frames_dropped", "Messages to peers that were dropped, by reason",
                            frames.dropped_queue_full));
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
      "Packets sent to targets over a link of known rate, by whether they waited";
  const char* const dropped = "Packets that waited for the link and were dropped, by reason";
  const char* const openings = "Openings of bulk flows, by what became of them";
  samples.insert(
      samples.end(),
      {gauge("link_octets_per_second", "What may be sent over the machine's link; 0: not known",
             link.model().rate()),
       gauge("link_use", "Share of it that is used now",
             link.model().send_utilization(monotonic_now())),
       gauge("link_packets_waiting", "Packets that wait for the link",
             static_cast<double>(scheduler.queued_packets())),
       with_reason(counter("link_packets_sent", sent, counters.sent_immediately), "at_once"),
       with_reason(counter("link_packets_sent", sent, counters.sent_after_queueing), "waited"),
       counter("link_copies_spared", "Copies of packets that waited or had just left",
               counters.retransmissions_suppressed),
       with_reason(counter("link_packets_dropped", dropped, counters.dropped_queue_full), "full"),
       with_reason(counter("link_packets_dropped", dropped, counters.dropped_expired), "given_up"),
       gauge("link_bulk_flows", "Open bulk flows that the link carries",
             static_cast<double>(admission.flows())),
       with_reason(counter("link_bulk_openings", openings, admission.admitted()), "admitted"),
       with_reason(counter("link_bulk_openings", openings, admission.rejected()), "refused")});
}

}  // namespace

std::vector<MetricSample> to_samples(const SteeringTask& task) {
  const SteeringCounters& counters = task.counters();
  std::vector<MetricSample> samples = {
      counter("datagrams_malformed", "Datagrams dropped as malformed", counters.malformed),
      counter("messages_refused", "Messages that were not authentic", counters.messages_rejected),
      counter("updates_refused", "Updates that did not follow the revision in force",
              counters.updates_refused),
      counter("resets", "Flows that callers were told of at once", counters.resets),
      counter("target_probes", "Connections opened to see whether a target can be reached",
              task.probes_sent()),
      gauge("targets_unreachable", "Targets that cannot be reached from here",
            static_cast<double>(task.steering().unreachable_targets())),
      gauge("targets_cold", "Targets that warm up within a budget",
            static_cast<double>(task.steering().warm_up().size())),
      counter("warm_up_flows", "Flows placed at cold targets",
              task.steering().warm_up().counters().placed),
      counter("warm_up_passed_over", "Flows for which a cold target was passed over",
              task.steering().warm_up().counters().passed_over),
      counter("warm_up_refused", "Flows refused since only cold targets were left",
              task.steering().warm_up().counters().refused),
      counter("warm_up_places_doubted", "Places among balancers that could not be true",
              task.steering().warm_up().counters().implausible_ranks),
      counter("placement_targets_looked_at", "Targets that openings have looked at",
              task.steering().placement_counters().targets_examined),
      counter("placement_whole_pools", "Openings that found none fit in their sample of a pool",
              task.steering().placement_counters().full_scans),
      gauge("zones_cut_off", "Zones to which the path from here is cut",
            static_cast<double>(task.steering().zone_paths().cut_count())),
      gauge("flows", "Flows that passed lately", static_cast<double>(task.steering().flows())),
      gauge("ready", "1 while routers may send packets", task.is_ready() ? 1 : 0),
      gauge("revision", "Revision in force", static_cast<double>(task.fleet().revision)),
      gauge("revisions_behind", "Revisions that the chosen replica is ahead",
            static_cast<double>(task.revisions_behind())),
      gauge("state_age_seconds", "Time as of which the state in force was the newest, ago",
            seconds(task.state_age(monotonic_now()))),
      gauge("operator_version", "Operator version in force",
            static_cast<double>(task.fleet().steering.settings.version)),
      gauge("targets", "Targets known", static_cast<double>(task.fleet().steering.targets.size())),
      gauge("zones_evacuated", "Zones whose targets get no new flows from here",
            static_cast<double>(task.fleet().steering.evacuated_zones.size())),
  };
  for (std::size_t i = 0; i < kSteeringReasons; ++i) {
    samples.push_back(
        counter("packets_decided", "Packets by how they were decided", counters.packets[i]));
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
      gauge("leader", "1 while this replica leads", replica.is_leader() ? 1 : 0),
      gauge("term", "Election term", static_cast<double>(replica.term())),
      gauge("commit_index", "Last committed entry", static_cast<double>(replica.commit_index())),
      gauge("last_index", "Last entry in the log", static_cast<double>(replica.last_index())),
      gauge("replicas", "Replicas in the set",
            static_cast<double>(replica.replicas().replicas.size())),
      gauge("revision", "Revision of the committed state",
            static_cast<double>(node.state().fleet().revision)),
      gauge("operator_version", "Operator version that holds",
            static_cast<double>(node.state().fleet().steering.settings.version)),
      gauge("zones_evacuated", "Zones that are evacuated by the committed state",
            static_cast<double>(node.state().fleet().steering.evacuated_zones.size())),
      gauge("balancers_served", "Balancers that get updates from here",
            static_cast<double>(node.balancers_served())),
      counter("updates_repeated", "Updates that went to a balancer again",
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
  for (std::size_t i = 0; i < kFailureReasonCount; ++i) {
    samples.push_back(counter("requests_given_up", "Verdicts by reason", c.given_up[i]));
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
