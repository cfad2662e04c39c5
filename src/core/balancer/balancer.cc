#include "core/balancer/balancer.h"

#include <algorithm>
#include <vector>

#include "core/balancer/timing.h"

namespace gorsevalve {
namespace {

/// Interval between two steps of the sweep that removes idle flows and unused backup copies.
constexpr Duration kSweepInterval = std::chrono::milliseconds(200);

/// Returns the partition that a message refers to.
PartitionId partition_of(const PeerMessage& message) {
  return std::visit([](const auto& body) { return body.partition; }, message);
}

}  // namespace

Balancer::Balancer(BalancerConfig config, BalancerOutput& output)
    : state_(std::move(config), output),
      counters_(state_.counters()),
      target_table_(state_.target_table()),
      binding_(state_),
      replicator_(state_, *this),
      backups_(state_),
      handover_(state_, binding_, replicator_, *this),
      actions_(state_, binding_, replicator_),
      observation_migrator_(state_, binding_, actions_),
      chain_(state_, actions_),
      response_handler_(state_, actions_, chain_) {}

void Balancer::on_datagram(ByteView datagram, Instant now) {
  ++counters_.datagrams_in;
  const std::optional<ProxyDatagram> decoded = decode_proxy_datagram(datagram);
  if (!decoded || (decoded->header.target && !decoded->header.request_id)) {
    ++counters_.datagrams_malformed;
    return;
  }
  if (now < recovers_until_ || was_paused(now)) {
    ++counters_.datagrams_after_pause;
    return;
  }
  route(decoded->header, decoded->payload, now);
}

bool Balancer::was_paused(Instant now) const {
  return last_tick_ && now - *last_tick_ > timing::kPauseLimit;
}

void Balancer::route(const ProxyHeader& header, ByteView payload, Instant now) {
  const ServiceView* service =
      state_.view() == nullptr ? nullptr : state_.view()->service(header.flow.service);
  if (service == nullptr) {
    ++counters_.datagrams_unknown_service;
    return;
  }
  Partition& partition = state_.partitions().at(state_.view()->partition_of(header.flow, *service));
  switch (partition.role) {
    case PartitionRole::kOwner:
      on_owned(partition, header, payload, now);
      return;
    case PartitionRole::kAcquiring: {
      const Acquisition& acquisition = *partition.acquisition;
      const bool source_serves = acquisition.has_source() && acquisition.next_chunk == 0 &&
                                 acquisition.sources[acquisition.source].was_owner;
      if (source_serves && !header.relay) {
        relay(partition, header, payload);
      } else {
        handover_.buffer_datagram(partition, header, payload);
      }
      return;
    }
    case PartitionRole::kNone:
      relay(partition, header, payload);
      return;
  }
}

void Balancer::relay(Partition& partition, const ProxyHeader& header, ByteView payload) {
  std::optional<Endpoint> peer;
  if (partition.role == PartitionRole::kAcquiring) {
    peer = partition.acquisition->sources[partition.acquisition->source].address;
  } else if (partition.outgoing && partition.outgoing->source_state == SourceState::kComplete &&
             partition.outgoing->revision >= state_.view()->members_revision()) {
    peer = partition.outgoing->to;
  } else if (const Member* owner = state_.view()->owner(partition.id)) {
    peer = owner->address;
  }
  if (!peer || *peer == state_.self()) {
    ++counters_.datagrams_without_owner;
    return;
  }
  ProxyHeader relayed = header;
  RelayInfo relay_info = header.relay.value_or(RelayInfo{});
  if (relay_info.hops >= kMaxRelayHops) {
    ++counters_.datagrams_hop_limit;
    return;
  }
  ++relay_info.hops;
  relay_info.members_revision = state_.view()->members_revision();
  relayed.relay = relay_info;
  ++counters_.datagrams_relayed;
  state_.output().relay(*peer, relayed, payload);
}

void Balancer::on_owned(Partition& partition, const ProxyHeader& header, ByteView payload,
                        Instant now) {
  const std::optional<CoapSummary> summary = parser_.parse(payload);
  if (!summary) {
    ++counters_.datagrams_malformed;
    return;
  }
  if (header.target) {
    response_handler_.on_response(partition, {header, *header.target, payload, *summary}, now);
    return;
  }
  if (summary->code != coap_code::kEmpty) {
    on_client_message(partition, header.flow, payload, *summary, now);
    return;
  }
  if (summary->type == CoapType::kConfirmable) {
    // An empty confirmable message is a ping (RFC 7252 section 4.3).
    state_.output().send_to_client(header.flow,
                                   encode_empty_message(CoapType::kReset, summary->message_id));
    return;
  }
  response_handler_.on_client_empty(partition, header.flow, *summary, now);
}

void Balancer::on_client_message(Partition& partition, const FlowKey& flow, ByteView message,
                                 const CoapSummary& summary, Instant now) {
  const bool is_request = summary.is_request() && (summary.type == CoapType::kConfirmable ||
                                                   summary.type == CoapType::kNonConfirmable);
  if (!is_request) {
    ++counters_.datagrams_malformed;
    return;
  }
  ++counters_.requests;
  state_.retry_budget().on_request();
  RequestContext context(partition, *state_.view()->service(flow.service), flow, message, now);
  context.token = summary.token;
  context.message_id = summary.message_id;
  context.type = summary.type;
  context.kind = classify(summary, context.service);
  context.observe = summary.observe;
  context.continuation = (summary.block2 && summary.block2->number > 0) ||
                         (summary.block1 && summary.block1->number > 0);
  chain_.run(context, ChainEntry::kArrival);
}

void Balancer::on_peer_message(const Endpoint& from, const PeerMessage& message, Instant now) {
  struct Visitor {
    Balancer& balancer;
    const Endpoint& from;
    Instant now;
    void operator()(const ReplicateRequest& request) const {
      balancer.backups_.on_request(from, request, now);
    }
    void operator()(const ReplicateReply& reply) const {
      balancer.replicator_.on_reply(reply, now);
    }
    void operator()(const TakeoverRequest& request) const {
      balancer.handover_.on_takeover_request(from, request, now);
    }
    void operator()(const TakeoverChunk& chunk) const {
      balancer.handover_.on_takeover_chunk(from, chunk, now);
    }
  };
  const bool known =
      state_.view() != nullptr && partition_of(message) < state_.view()->state().partitions;
  if (known) {
    std::visit(Visitor{*this, from, now}, message);
  }
}

void Balancer::on_fleet(FleetState fleet, Instant now) {
  const bool newer = state_.view() == nullptr || fleet.revision > state_.view()->state().revision;
  if (!newer) {
    return;
  }
  const Revision old_members =
      state_.view() == nullptr ? 0 : state_.view()->state().members_revision;
  state_.set_view(std::make_shared<const FleetView>(std::move(fleet), state_.view().get()));
  target_table_.update_targets(*state_.view(), now);
  for (Partition* partition : state_.partitions().used()) {
    if (partition->role == PartitionRole::kOwner) {
      binding_.mark_for_replication(*partition);
    }
  }
  observation_migrator_.migrate_from_lost_targets(now);
  if (state_.view()->members_revision() != old_members) {
    handover_.on_members(now);
  }
}

void Balancer::on_target_report(const TargetReport& report, Instant now) {
  const bool went_down = target_table_.on_report(report, now);
  if (went_down && state_.view() != nullptr) {
    observation_migrator_.migrate_from_lost_targets(now);
  }
}

void Balancer::on_tick(Instant now) {
  if (was_paused(now)) {
    recovers_until_ = now + timing::kPauseRecovery;
  }
  last_tick_ = now;
  if (state_.view() == nullptr) {
    return;
  }
  expire(now);
  replicator_.on_tick(now);
  handover_.on_tick(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    sweep_position_ = (sweep_position_ + 1) % state_.view()->state().partitions;
    if (Partition* partition = state_.partitions().find(sweep_position_)) {
      binding_.release_idle(*partition, now);
    }
    if (sweep_position_ == 0) {
      backups_.drop_unused(now);
    }
  }
}

void Balancer::expire(Instant now) {
  auto& deadlines = state_.deadlines();
  while (!deadlines.empty() && deadlines.top().at <= now) {
    const DeadlineEntry entry = deadlines.top();
    deadlines.pop();
    Partition& partition = state_.partitions().at(entry.partition);
    RequestRecord* record = partition.store.find_request(entry.id);
    if (record != nullptr && record->deadline <= now) {
      on_expired(partition, *record, now);
    }
  }
}

void Balancer::on_expired(Partition& partition, RequestRecord& record, Instant now) {
  const Endpoint target = record.target;
  switch (record.state) {
    case RequestState::kRecording:
      actions_.give_up(partition, record, Execution::kMayHaveRun, FailureReason::kNoBackup, now);
      return;
    case RequestState::kQueued:
      actions_.give_up(partition, record, Execution::kNotRun, FailureReason::kDeadline, now);
      return;
    case RequestState::kDispatched:
      if (now < record.give_up_at) {
        actions_.resend(partition, record, now);
        return;
      }
      actions_.give_up(partition, record, Execution::kMayHaveRun, FailureReason::kDeadline, now);
      chain_.drain_queue(target, now);
      return;
    case RequestState::kAnswered:
    case RequestState::kGivenUp:
      if (record.kind == RequestKind::kObserve && record.state == RequestState::kAnswered) {
        if (FlowRecord* flow = partition.store.find_flow(record.flow)) {
          flow->observations =
              static_cast<std::uint16_t>(flow->observations - (flow->observations > 0 ? 1 : 0));
        }
      }
      actions_.delete_record(partition, record);
      return;
  }
}

void Balancer::on_recorded(Partition& partition, const RequestId& id, Instant now) {
  RequestRecord* record = partition.store.find_request(id);
  if (record == nullptr || record->state != RequestState::kRecording) {
    return;
  }
  const ServiceView* service = state_.view()->service(record->flow.service);
  const auto timeout =
      service == nullptr
          ? Duration::zero()
          : Duration(std::chrono::milliseconds(service->service->request_timeout_ms));
  record->give_up_at = now + timeout;
  state_.set_deadline(partition.id, *record, record->give_up_at);
  chain_.resume(partition, *record, ChainEntry::kAdmission, now);
}

void Balancer::on_superseded(Partition& partition, Instant now) {
  handover_.on_superseded(partition, now);
}

void Balancer::on_request_imported(Partition& partition, RequestRecord& record, Instant now) {
  if (record.is_outstanding()) {
    ++target_table_.at(record.target).outstanding;
  }
  if (record.kind == RequestKind::kObserve && record.state == RequestState::kAnswered) {
    FlowRecord* flow = partition.store.find_flow(record.flow);
    if (flow == nullptr) {
      flow = &binding_.bind(partition, record.flow, record.target, now);
    }
    ++flow->observations;
    partition.store.set_last_notification(&record, record.observe_state.message_id_out,
                                          record.observe_state.message_id_in);
  }
  Duration lifetime = timing::kExchangeLifetime;
  if (record.kind == RequestKind::kObserve && record.state == RequestState::kAnswered) {
    lifetime = timing::kObservationIdleTimeout;
  } else if (record.is_outstanding() || record.is_unsent()) {
    const ServiceView* service = state_.view()->service(record.flow.service);
    lifetime = service == nullptr
                   ? Duration::zero()
                   : Duration(std::chrono::milliseconds(service->service->request_timeout_ms));
  }
  record.give_up_at = now + lifetime;
  if (record.is_outstanding()) {
    // The datagram that the previous owner sent may have been lost.
    actions_.plan_resend(partition, record, now);
  } else {
    state_.set_deadline(partition.id, record, record.give_up_at);
  }
}

void Balancer::on_acquired(Partition& partition, Instant now) {
  // Requests that were still queued at the previous owner have not been sent to a target. They
  // resume here.
  std::vector<RequestRecord*> queued;
  for (const auto& [id, record] : partition.store.requests()) {
    if (record->is_unsent()) {
      queued.push_back(record);
    }
  }
  sort_by_id(queued);
  for (RequestRecord* record : queued) {
    chain_.resume(partition, *record, ChainEntry::kRecord, now);
  }
  observation_migrator_.migrate_from_lost_targets(partition, now);
}

void Balancer::on_buffered_datagram(const ProxyHeader& header, ByteView payload, Instant now) {
  route(header, payload, now);
}

Revision Balancer::revision() const {
  return state_.view() == nullptr ? 0 : state_.view()->state().revision;
}

Revision Balancer::settled_revision() const {
  return handover_.is_settled() ? state_.view()->members_revision() : 0;
}

bool Balancer::has_released_all(Instant now) const { return handover_.has_released_all(now); }

std::size_t Balancer::flow_count() const {
  std::size_t count = 0;
  for (const Partition* partition : state_.partitions().used()) {
    count += partition->store.flows().size();
  }
  return count;
}

std::size_t Balancer::request_count() const {
  std::size_t count = 0;
  for (const Partition* partition : state_.partitions().used()) {
    count += partition->store.requests().size();
  }
  return count;
}

}  // namespace gorsevalve
