#include "core/balancer/response_handler.h"

#include <algorithm>

#include "core/balancer/timing.h"

namespace gorsevalve {
namespace {

constexpr std::uint8_t kMaxRetries = 1;

}  // namespace

void ResponseHandler::on_response(Partition& partition, const TargetMessage& target_message,
                                  Instant now) {
  RequestRecord* record = partition.store.find_request(*target_message.header.request_id);
  if (record == nullptr) {
    on_unmatched(partition, target_message, now);
    return;
  }
  const bool empty = target_message.summary.code == coap_code::kEmpty;
  const bool matches = record->flow == target_message.header.flow &&
                       record->target == target_message.target &&
                       (empty || record->token == target_message.summary.token);
  if (!matches || record->is_unsent() || record->state == RequestState::kGivenUp) {
    ++state_.counters().answers_unmatched;
    return;
  }
  ++state_.counters().answers;
  actions_.binding().touch(partition, record->flow, now);
  if (empty) {
    // The target acknowledges the request before it sends a separate response (RFC 7252 section
    // 5.2.2).
    state_.output().send_to_client(record->flow, target_message.message);
    return;
  }
  if (record->kind == RequestKind::kObserve && target_message.summary.observe) {
    on_notification(partition, *record, target_message, now);
  } else {
    on_final_response(partition, *record, target_message, now);
  }
}

void ResponseHandler::on_unmatched(Partition& partition, const TargetMessage& target_message,
                                   Instant now) {
  const bool own_id =
      target_message.header.request_id->incarnation == state_.config().self.incarnation;
  const bool newer_request = partition.store.find_token(target_message.header.flow,
                                                        target_message.summary.token) != nullptr;
  const ServiceView* service = state_.view()->service(target_message.header.flow.service);
  const bool known_target = state_.view()->target(*service, target_message.target) != nullptr;
  if (own_id || newer_request || !known_target || !target_message.summary.is_response()) {
    ++state_.counters().answers_unmatched;
    return;
  }
  // The response belongs to a request of a failed owner. It names the flow and the target, so it
  // restores the binding; a notification also reopens the observation.
  FlowRecord* flow = actions_.binding().touch(partition, target_message.header.flow, now);
  if (flow == nullptr) {
    actions_.binding().bind(partition, target_message.header.flow, target_message.target, now);
  }
  RequestRecord* record = partition.store.new_request();
  record->flow = target_message.header.flow;
  record->id = *target_message.header.request_id;
  record->token = target_message.summary.token;
  record->message_id = target_message.summary.message_id;
  record->target = target_message.target;
  record->state = RequestState::kAnswered;
  if (!target_message.summary.observe) {
    forward(partition, *record, target_message, std::nullopt);
    partition.store.index(record);
    partition.store.erase_request(record);
    return;
  }
  record->kind = RequestKind::kObserve;
  record->observe_state.last_in = (*target_message.summary.observe - 1) & kObserveMask;
  record->observe_state.last_out = record->observe_state.last_in;
  partition.store.index(record);
  ++partition.store.find_flow(record->flow)->observations;
  ++state_.counters().feeds_relearned;
  on_notification(partition, *record, target_message, now);
}

void ResponseHandler::open_observation(Partition& partition, RequestRecord& record, Instant now) {
  actions_.release_outstanding(record);
  record.state = RequestState::kAnswered;
  ++record.version;
  if (FlowRecord* flow = partition.store.find_flow(record.flow)) {
    ++flow->observations;
    partition.unacknowledged.changed_flows.insert(record.flow);
  }
  actions_.replicator().mark_changed(partition, record);
  state_.target_table().on_response(record.target, false, now);
  chain_.drain_queue(record.target, now);
}

void ResponseHandler::on_notification(Partition& partition, RequestRecord& record,
                                      const TargetMessage& target_message, Instant now) {
  ObserveState& observation = record.observe_state;
  const std::uint32_t value = *target_message.summary.observe;
  const bool first = record.state == RequestState::kDispatched;
  const bool is_reply = target_message.summary.type == CoapType::kAcknowledgement;
  if (first) {
    open_observation(partition, record, now);
  } else if (observation.moved) {
    observation.offset = (observation.last_out + 1 - value) & kObserveMask;
  } else if (!observe_is_fresher(observation.last_in, value) && !is_reply) {
    return;
  }
  observation.moved = false;
  if (first || observe_is_fresher(observation.last_in, value) || observation.offset != 0) {
    observation.last_in = value;
  }
  const std::uint32_t out = (value + observation.offset) & kObserveMask;
  observation.last_out =
      first || observe_is_fresher(observation.last_out, out) ? out : observation.last_out;
  state_.set_deadline(partition.id, record, now + timing::kObservationIdleTimeout);
  const std::uint16_t id_out = forward(partition, record, target_message, out);
  partition.store.set_last_notification(&record, id_out, target_message.summary.message_id);
}

void ResponseHandler::close_observation(Partition& partition, RequestRecord& record) {
  FlowRecord* flow = partition.store.find_flow(record.flow);
  if (record.kind == RequestKind::kObserve && record.state == RequestState::kAnswered &&
      flow != nullptr && flow->observations > 0) {
    --flow->observations;
  }
}

bool ResponseHandler::retry_on_other_target(Partition& partition, RequestRecord& record,
                                            Instant now) {
  const ServiceView* service = state_.view()->service(record.flow.service);
  const bool may_retry = record.kind != RequestKind::kNonIdempotent && !record.continuation &&
                         record.retries < kMaxRetries && !record.request.empty() &&
                         record.state == RequestState::kDispatched && service != nullptr;
  if (!may_retry) {
    return false;
  }
  const Target* target = actions_.select_target(*service, record.flow, now, record.target);
  const bool has_room = target != nullptr && state_.target_table().has_capacity(target->address);
  if (!has_room || !state_.retry_budget().take()) {
    return false;
  }
  actions_.release_outstanding(record);
  record.state = RequestState::kQueued;
  partition.store.change_id(&record, state_.next_request_id());
  record.target = target->address;
  ++record.retries;
  actions_.binding().bind(partition, record.flow, target->address, now);
  ++state_.counters().requests_retried;
  actions_.dispatch(record, record.request, now);
  actions_.plan_resend(partition, record, now);
  return true;
}

void ResponseHandler::on_final_response(Partition& partition, RequestRecord& record,
                                        const TargetMessage& target_message, Instant now) {
  const bool refused = target_message.summary.code == coap_code::kServiceUnavailable;
  const Endpoint target = record.target;
  if (record.state == RequestState::kDispatched) {
    state_.target_table().on_response(target, refused, now);
  }
  if (refused && retry_on_other_target(partition, record, now)) {
    return;
  }
  if (record.kind == RequestKind::kNonIdempotent && record.state == RequestState::kAnswered) {
    // A duplicate of the response that the client already has.
    forward(partition, record, target_message, std::nullopt);
    return;
  }
  forward(partition, record, target_message, std::nullopt);
  actions_.release_outstanding(record);
  if (record.kind == RequestKind::kNonIdempotent) {
    record.state = RequestState::kAnswered;
    record.response.assign(target_message.message.begin(), target_message.message.end());
    record.request.clear();
    ++record.version;
    actions_.replicator().mark_changed(partition, record);
    state_.set_deadline(partition.id, record, now + timing::kExchangeLifetime);
  } else {
    close_observation(partition, record);
    record.state = RequestState::kAnswered;
    actions_.delete_record(partition, record);
  }
  chain_.drain_queue(target, now);
}

std::uint16_t ResponseHandler::forward(Partition& partition, const RequestRecord& record,
                                       const TargetMessage& target_message,
                                       std::optional<std::uint32_t> observe) {
  std::size_t size = target_message.message.size();
  std::copy(target_message.message.begin(), target_message.message.end(), buffer_.begin());
  const std::span<std::uint8_t> message(buffer_);
  std::uint16_t message_id = target_message.summary.message_id;
  const bool piggybacked = target_message.summary.type == CoapType::kAcknowledgement;
  // A piggybacked response to a registration that this balancer initiated acknowledges no message
  // of the client.
  const bool unrelated_ack = piggybacked && message_id != record.message_id;
  FlowRecord* flow = partition.store.find_flow(record.flow);
  if ((!piggybacked || unrelated_ack) && flow != nullptr) {
    message_id = flow->next_message_id++;
    set_coap_message_id(message, message_id);
    if (unrelated_ack) {
      set_coap_type(message, CoapType::kNonConfirmable);
    }
  }
  if (observe && *observe != *target_message.summary.observe) {
    const std::size_t new_size = set_coap_observe(message, size, *observe);
    size = new_size == 0 ? size : new_size;
  }
  state_.output().send_to_client(record.flow, ByteView(buffer_.data(), size));
  return message_id;
}

void ResponseHandler::on_client_empty(Partition& partition, const FlowKey& flow,
                                      const CoapSummary& summary, Instant now) {
  RequestRecord* record = partition.store.find_notification(flow, summary.message_id);
  if (record == nullptr) {
    return;
  }
  actions_.binding().touch(partition, flow, now);
  actions_.send_to_target(
      *record, encode_empty_message(summary.type, record->observe_state.message_id_in), now);
  if (summary.type == CoapType::kReset) {
    close_observation(partition, *record);
    actions_.delete_record(partition, *record);
  }
}

}  // namespace gorsevalve
