#include "core/balancer/request_actions.h"

#include <algorithm>
#include <cmath>

#include "core/balancer/timing.h"

namespace gorsevalve {
namespace {

/// Factor by which the load of the second choice is multiplied before it is compared with that of
/// the first choice. Equal loads select the first choice, whose flows need no replication.
constexpr double kSecondChoiceLoadFactor = 1.0;

Duration request_timeout(const ServiceView* service) {
  constexpr Duration kDefault = std::chrono::seconds(4);
  return service == nullptr ? kDefault
                            : std::chrono::milliseconds(service->service->request_timeout_ms);
}

}  // namespace

RequestRecord& RequestActions::make_record(RequestContext& context, RequestState record_state) {
  if (context.record == nullptr) {
    RequestRecord* record = context.partition.store.new_request();
    record->flow = context.flow;
    record->id = state_.next_request_id();
    record->token = context.token;
    record->message_id = context.message_id;
    record->type = context.type;
    record->kind = context.kind;
    record->continuation = context.continuation;
    record->request.assign(context.message.begin(), context.message.end());
    context.partition.store.index(record);
    context.record = record;
    record->give_up_at = context.now + request_timeout(&context.service);
  }
  context.record->state = record_state;
  if (context.target) {
    context.record->target = *context.target;
  }
  ++context.record->version;
  return *context.record;
}

bool RequestActions::send_to_target(const RequestRecord& record, ByteView message, Instant now) {
  const ServiceView* service = state_.view()->service(record.flow.service);
  if (service == nullptr || state_.view()->target(*service, record.target) == nullptr) {
    ++state_.counters().dispatches_blocked;
    return false;
  }
  ProxyHeader header;
  header.flow = record.flow;
  header.request_id = record.id;
  if (record.is_unsent() || record.is_outstanding()) {
    header.time_left_ms = milliseconds_until(record.give_up_at, now);
  }
  state_.output().send_to_target(record.target, header, message);
  return true;
}

void RequestActions::dispatch(RequestRecord& record, ByteView message, Instant now) {
  if (!send_to_target(record, message, now)) {
    return;
  }
  record.state = RequestState::kDispatched;
  ++record.version;
  ++state_.target_table().at(record.target).outstanding;
  ++state_.counters().requests_dispatched;
}

void RequestActions::plan_resend(Partition& partition, RequestRecord& record, Instant now) {
  if (record.kind == RequestKind::kNonIdempotent || record.request.empty()) {
    state_.set_deadline(partition.id, record, record.give_up_at);
    return;
  }
  const Duration interval = timing::kResendInterval * (1U << record.resends);
  state_.set_deadline(partition.id, record, std::min(now + interval, record.give_up_at));
}

void RequestActions::resend(Partition& partition, RequestRecord& record, Instant now) {
  ++record.resends;
  plan_resend(partition, record, now);
  if (state_.retry_budget().take() && send_to_target(record, record.request, now)) {
    ++state_.counters().requests_resent;
  }
}

std::chrono::seconds RequestActions::retry_after(const Service& service,
                                                 const RequestRecord& record) const {
  const std::uint32_t span = service.retry_after_max_s - service.retry_after_min_s + 1;
  const std::uint64_t jitter = (flow_hash(record.flow) ^ record.id.sequence) % span;
  return std::chrono::seconds(service.retry_after_min_s + jitter);
}

void RequestActions::give_up(Partition& partition, RequestRecord& record, Execution execution,
                             FailureReason reason, Instant now) {
  if (record.is_outstanding()) {
    // Notifies the target that the response is no longer needed (RFC 7252 section 4.2: Reset).
    send_to_target(record, encode_empty_message(CoapType::kReset, record.message_id), now);
    release_outstanding(record);
  }
  const ServiceView* service = state_.view()->service(record.flow.service);
  const auto retry_delay =
      service == nullptr ? std::chrono::seconds(1) : retry_after(*service->service, record);
  record.state = RequestState::kGivenUp;
  record.execution = execution;
  record.retry_after_s =
      static_cast<std::uint8_t>(std::min<std::int64_t>(retry_delay.count(), 255));
  ++record.version;
  auto& counters = state_.counters();
  ++(execution == Execution::kNotRun ? counters.verdicts_not_run : counters.verdicts_may_have_run);
  ++counters.given_up[static_cast<std::size_t>(reason)];
  const bool is_non_idempotent = record.kind == RequestKind::kNonIdempotent;
  if (is_non_idempotent) {
    replicator_.mark_changed(partition, record);
  }
  state_.set_deadline(
      partition.id, record,
      now + (is_non_idempotent ? timing::kExchangeLifetime : timing::kGivenUpLifetime));
  resend_verdict(record);
}

void RequestActions::resend_verdict(const RequestRecord& record) {
  Verdict verdict;
  verdict.execution = record.execution;
  verdict.retry_after = std::chrono::seconds(record.retry_after_s);
  state_.output().send_to_client(
      record.flow, encode_verdict(verdict, record.type, record.message_id, record.token));
}

void RequestActions::migrate_observation(Partition& partition, RequestRecord& record,
                                         const Endpoint& target, Instant now) {
  FlowRecord* flow = partition.store.find_flow(record.flow);
  if (flow == nullptr || record.request.empty()) {
    return;
  }
  release_outstanding(record);
  partition.store.change_id(&record, state_.next_request_id());
  record.target = target;
  // The new target uses its own Observe values. The first one sets the offset that continues the
  // client's sequence.
  record.observe_state.offset = 0;
  record.observe_state.last_in = 0;
  record.observe_state.moved = true;
  Bytes message = record.request;
  set_coap_message_id(message, flow->next_message_id++);
  dispatch(record, message, now);
  record.state = RequestState::kAnswered;
  replicator_.mark_changed(partition, record);
  --state_.target_table().at(target).outstanding;
  state_.set_deadline(partition.id, record, now + timing::kObservationIdleTimeout);
  ++state_.counters().feeds_moved;
}

void RequestActions::release_outstanding(const RequestRecord& record) {
  if (record.is_outstanding()) {
    --state_.target_table().at(record.target).outstanding;
  }
}

void RequestActions::delete_record(Partition& partition, RequestRecord& record) {
  release_outstanding(record);
  if (record.kind != RequestKind::kIdempotent) {
    replicator_.mark_deleted(partition, record);
  }
  partition.store.erase_request(&record);
}

bool RequestActions::accepts_new_flow(const Target& target) const {
  if (target.draining) {
    return false;
  }
  const TargetState* state = state_.target_table().find(target.address);
  if (state == nullptr) {
    return true;
  }
  // Each owner may use a fraction of the connection limit that matches its fraction of the
  // partitions.
  const double share = std::max(std::floor(target.max_connections * state_.owned_share()), 1.0);
  return state->healthy && state->flows < share;
}

const Target* RequestActions::least_loaded(const ServiceView& service, Instant now,
                                           std::optional<Endpoint> avoid) const {
  const Target* best = nullptr;
  double best_load = 0;
  for (const auto& target : service.service->targets) {
    if (!accepts_new_flow(target) || target.address == avoid) {
      continue;
    }
    const double load = state_.target_table().load(target, state_.owned_share(), now);
    if (best == nullptr || load < best_load) {
      best = &target;
      best_load = load;
    }
  }
  return best;
}

const Target* RequestActions::select_target(const ServiceView& service, const FlowKey& flow,
                                            Instant now, std::optional<Endpoint> avoid) {
  const Target* first = state_.view()->first_choice(service, flow);
  const Target* second = state_.view()->second_choice(service, flow);
  const auto usable = [&](const Target* target) {
    return target != nullptr && accepts_new_flow(*target) && target->address != avoid;
  };
  if (!usable(first) && !usable(second)) {
    return least_loaded(service, now, avoid);
  }
  if (!usable(first) || !usable(second) || first == second) {
    return usable(first) ? first : second;
  }
  const double first_load = state_.target_table().load(*first, state_.owned_share(), now);
  const double second_load = state_.target_table().load(*second, state_.owned_share(), now);
  return second_load * kSecondChoiceLoadFactor < first_load ? second : first;
}

}  // namespace gorsevalve
