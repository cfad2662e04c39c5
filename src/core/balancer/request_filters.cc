#include "core/balancer/request_filters.h"

#include <algorithm>

#include "core/balancer/timing.h"

namespace gorsevalve {
namespace {

bool contains(const std::vector<std::uint64_t>& hashes, std::uint64_t hash) {
  return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

}  // namespace

QueuePriority queue_priority(RequestKind kind) {
  switch (kind) {
    case RequestKind::kObserve:
      return QueuePriority::kObserve;
    case RequestKind::kNonIdempotent:
      return QueuePriority::kNonIdempotent;
    case RequestKind::kIdempotent:
      return QueuePriority::kOther;
  }
  return QueuePriority::kOther;
}

RequestKind classify(const CoapSummary& summary, const ServiceView& service) {
  if (contains(service.once_only_paths, summary.path_hash)) {
    return RequestKind::kNonIdempotent;
  }
  const bool idempotent = summary.code != coap_code::kPost && summary.code != coap_code::kPatch;
  if (!idempotent && !contains(service.repeatable_paths, summary.path_hash)) {
    return RequestKind::kNonIdempotent;
  }
  const bool is_registration =
      summary.observe && *summary.observe == 0 &&
      (summary.code == coap_code::kGet || summary.code == coap_code::kFetch);
  return is_registration ? RequestKind::kObserve : RequestKind::kIdempotent;
}

FilterStatus DuplicateFilter::on_request(RequestContext& context) {
  RequestRecord* record = context.partition.store.find_message(context.flow, context.message_id);
  if (record == nullptr || record->token != context.token) {
    return FilterStatus::kContinue;
  }
  ++state_.counters().requests_duplicate;
  respond_to_duplicate(context, *record);
  return FilterStatus::kStop;
}

void DuplicateFilter::respond_to_duplicate(RequestContext& context, RequestRecord& record) {
  const bool is_non_idempotent = record.kind == RequestKind::kNonIdempotent;
  switch (record.state) {
    case RequestState::kRecording:
    case RequestState::kQueued:
      return;
    case RequestState::kGivenUp:
      actions_.resend_verdict(record);
      return;
    case RequestState::kAnswered:
      if (is_non_idempotent) {
        state_.output().send_to_client(record.flow, record.response);
        return;
      }
      break;
    case RequestState::kDispatched:
      if (is_non_idempotent) {
        return;
      }
      break;
  }
  // An idempotent request, or a registration whose first notification may be lost, is resent to the
  // same target.
  actions_.send_to_target(record, context.message, context.now);
}

FilterStatus ObserveFilter::on_request(RequestContext& context) {
  if (!context.observe) {
    return FilterStatus::kContinue;
  }
  RequestRecord* observation = context.partition.store.find_token(context.flow, context.token);
  const bool open = observation != nullptr && observation->kind == RequestKind::kObserve &&
                    observation->state == RequestState::kAnswered;
  if (!open || state_.view()->target(context.service, observation->target) == nullptr) {
    return FilterStatus::kContinue;
  }
  observation->message_id = context.message_id;
  observation->type = context.type;
  observation->request.assign(context.message.begin(), context.message.end());
  context.partition.store.index(observation);
  actions_.send_to_target(*observation, context.message, context.now);
  return FilterStatus::kStop;
}

FilterStatus LeaseFilter::on_request(RequestContext& context) {
  if (context.kind != RequestKind::kNonIdempotent) {
    return FilterStatus::kContinue;
  }
  const bool has_lease = context.now < state_.lease_until() || state_.faults().skip_lease_check;
  const bool complete =
      context.now >= context.partition.incomplete_until || state_.faults().skip_incomplete_check;
  if (has_lease && complete) {
    return FilterStatus::kContinue;
  }
  RequestRecord& record = actions_.make_record(context, RequestState::kRecording);
  const FailureReason reason =
      has_lease ? FailureReason::kIncompleteTakeover : FailureReason::kNoLease;
  actions_.give_up(context.partition, record, Execution::kMayHaveRun, reason, context.now);
  return FilterStatus::kStop;
}

bool PlacementFilter::keeps_target(const RequestContext& context, const FlowRecord& flow) const {
  const Target* target = state_.view()->target(context.service, flow.target);
  if (target == nullptr) {
    return false;
  }
  const TargetState* state = state_.target_table().find(flow.target);
  const bool healthy = state == nullptr || state->healthy;
  return healthy && (!target->draining || context.continuation);
}

FilterStatus PlacementFilter::on_request(RequestContext& context) {
  FlowBinding& binding = actions_.binding();
  const FlowRecord* flow = binding.touch(context.partition, context.flow, context.now);
  if (flow != nullptr && keeps_target(context, *flow)) {
    context.target = flow->target;
    return FilterStatus::kContinue;
  }
  const Target* target =
      actions_.select_target(context.service, context.flow, context.now, std::nullopt);
  if (target != nullptr) {
    binding.bind(context.partition, context.flow, target->address, context.now);
    context.target = target->address;
    ++state_.counters().flows_placed;
    if (target != state_.view()->first_choice(context.service, context.flow)) {
      ++state_.counters().flows_second_choice;
    }
  }
  return FilterStatus::kContinue;
}

FilterStatus RecordFilter::on_request(RequestContext& context) {
  if (context.kind != RequestKind::kNonIdempotent) {
    return FilterStatus::kContinue;
  }
  RequestRecord& record = actions_.make_record(context, RequestState::kRecording);
  if (!context.partition.backup || state_.faults().skip_record_before_dispatch) {
    return FilterStatus::kContinue;
  }
  state_.set_deadline(context.partition.id, record, context.now + timing::kRecordTimeout);
  actions_.replicator().replicate_now(context.partition, record, context.now);
  return FilterStatus::kStop;
}

bool AdmissionFilter::evict_lower_priority(TargetState& target, QueuePriority priority,
                                           Instant now) {
  for (std::size_t lower = kQueuePriorities - 1; lower > static_cast<std::size_t>(priority);
       --lower) {
    auto& queue = target.queues[lower];
    for (auto queued = queue.rbegin(); queued != queue.rend(); ++queued) {
      Partition& partition = state_.partitions().at(queued->partition);
      RequestRecord* record = partition.store.find_request(queued->id);
      if (record == nullptr || record->continuation) {
        continue;
      }
      queue.erase(std::next(queued).base());
      actions_.give_up(partition, *record, Execution::kNotRun, FailureReason::kOverload, now);
      return true;
    }
  }
  return false;
}

FilterStatus AdmissionFilter::on_request(RequestContext& context) {
  const bool exists =
      context.target && state_.view()->target(context.service, *context.target) != nullptr;
  if (!exists) {
    RequestRecord& record = actions_.make_record(context, RequestState::kQueued);
    actions_.give_up(context.partition, record, Execution::kNotRun, FailureReason::kNoTarget,
                     context.now);
    return FilterStatus::kStop;
  }
  TargetState& target = state_.target_table().at(*context.target);
  if (state_.target_table().has_capacity(*context.target)) {
    return FilterStatus::kContinue;
  }
  RequestRecord& record = actions_.make_record(context, RequestState::kQueued);
  const QueuePriority own_priority = queue_priority(context.kind);
  const bool full = target.queued_count() >= context.service.service->queue_limit;
  if (full && !context.continuation && !evict_lower_priority(target, own_priority, context.now)) {
    actions_.give_up(context.partition, record, Execution::kNotRun, FailureReason::kOverload,
                     context.now);
    return FilterStatus::kStop;
  }
  state_.set_deadline(context.partition.id, record, record.give_up_at);
  target.queues[static_cast<std::size_t>(own_priority)].push_back(
      {context.partition.id, record.id});
  return FilterStatus::kStop;
}

FilterStatus DispatchFilter::on_request(RequestContext& context) {
  RequestRecord& record = actions_.make_record(context, RequestState::kQueued);
  const bool has_lease = context.now < state_.lease_until() || state_.faults().skip_lease_check;
  if (context.kind == RequestKind::kNonIdempotent && !has_lease) {
    actions_.give_up(context.partition, record, Execution::kMayHaveRun, FailureReason::kNoLease,
                     context.now);
    return FilterStatus::kStop;
  }
  actions_.dispatch(record, context.message, context.now);
  actions_.plan_resend(context.partition, record, context.now);
  return FilterStatus::kContinue;
}

FilterChain::FilterChain(BalancerState& state, RequestActions& actions)
    : state_(state),
      filters_{std::make_unique<DuplicateFilter>(state, actions),
               std::make_unique<ObserveFilter>(state, actions),
               std::make_unique<LeaseFilter>(state, actions),
               std::make_unique<PlacementFilter>(state, actions),
               std::make_unique<RecordFilter>(state, actions),
               std::make_unique<AdmissionFilter>(state, actions),
               std::make_unique<DispatchFilter>(state, actions)} {}

void FilterChain::run(RequestContext& context, ChainEntry entry) {
  for (auto i = static_cast<std::size_t>(entry); i < filters_.size(); ++i) {
    if (filters_[i]->on_request(context) == FilterStatus::kStop) {
      return;
    }
  }
}

void FilterChain::resume(Partition& partition, RequestRecord& record, ChainEntry entry,
                         Instant now) {
  const ServiceView* service = state_.view()->service(record.flow.service);
  if (service == nullptr) {
    return;
  }
  RequestContext context(partition, *service, record.flow, record.request, now);
  context.token = record.token;
  context.message_id = record.message_id;
  context.type = record.type;
  context.kind = record.kind;
  context.continuation = record.continuation;
  context.record = &record;
  if (record.target != Endpoint{}) {
    context.target = record.target;
  }
  run(context, entry);
}

void FilterChain::drain_queue(const Endpoint& target, Instant now) {
  TargetState& target_state = state_.target_table().at(target);
  for (auto& queue : target_state.queues) {
    while (!queue.empty() && state_.target_table().has_capacity(target)) {
      const QueuedRequest queued = queue.front();
      queue.pop_front();
      Partition& partition = state_.partitions().at(queued.partition);
      RequestRecord* record = partition.store.find_request(queued.id);
      if (record != nullptr && record->state == RequestState::kQueued) {
        resume(partition, *record, ChainEntry::kDispatch, now);
      }
    }
  }
}

}  // namespace gorsevalve
