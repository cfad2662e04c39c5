#include "core/balancer/flow_binding.h"

#include <vector>

#include "core/balancer/timing.h"

namespace gorsevalve {
namespace {

std::uint32_t to_seconds(Instant now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count());
}

/// Initial message id of a flow at this owner. It differs between owners, which makes reuse of
/// recent ids for a client unlikely (RFC 7252 section 4.4).
std::uint16_t initial_message_id(const FlowKey& flow, std::uint64_t incarnation, Instant now) {
  const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count());
  return static_cast<std::uint16_t>(flow_hash(flow) ^ incarnation ^ (time >> 4U));
}

}  // namespace

FlowRecord& FlowBinding::bind(Partition& partition, const FlowKey& flow, const Endpoint& target,
                              Instant now) {
  FlowRecord* record = partition.store.find_flow(flow);
  if (record == nullptr) {
    FlowRecord new_record;
    new_record.next_message_id = initial_message_id(flow, state_.config().self.incarnation, now);
    record = &partition.store.add_flow(flow, new_record);
  } else {
    --state_.target_table().at(record->target).flows;
  }
  record->target = target;
  record->last_active_s = to_seconds(now);
  ++state_.target_table().at(target).flows;
  if (needs_replication(flow, *record)) {
    partition.unacknowledged.changed_flows.insert(flow);
  }
  return *record;
}

FlowRecord* FlowBinding::touch(Partition& partition, const FlowKey& flow, Instant now) {
  FlowRecord* record = partition.store.find_flow(flow);
  if (record != nullptr) {
    record->last_active_s = to_seconds(now);
  }
  return record;
}

void FlowBinding::release(Partition& partition, const FlowKey& flow) {
  const FlowRecord* record = partition.store.find_flow(flow);
  if (record == nullptr) {
    return;
  }
  --state_.target_table().at(record->target).flows;
  partition.unacknowledged.changed_flows.erase(flow);
  partition.store.erase_flow(flow);
}

void FlowBinding::release_idle(Partition& partition, Instant now) {
  const auto idle_s = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(timing::kFlowIdle).count());
  const std::uint32_t now_s = to_seconds(now);
  std::vector<FlowKey> idle;
  for (const auto& [flow, record] : partition.store.flows()) {
    if (record.observations == 0 && record.last_active_s + idle_s < now_s) {
      idle.push_back(flow);
    }
  }
  for (const auto& flow : idle) {
    release(partition, flow);
  }
}

void FlowBinding::clear(Partition& partition) {
  for (const auto& [flow, record] : partition.store.flows()) {
    --state_.target_table().at(record.target).flows;
  }
  partition.store.flows().clear();
  std::vector<RequestRecord*> records;
  for (const auto& [id, record] : partition.store.requests()) {
    records.push_back(record);
  }
  for (RequestRecord* record : records) {
    if (record->is_outstanding()) {
      --state_.target_table().at(record->target).outstanding;
    }
    partition.store.erase_request(record);
  }
  partition.unacknowledged = UnacknowledgedChanges{};
  partition.in_flight.reset();
  partition.copy_pending = false;
}

bool FlowBinding::needs_replication(const FlowKey& flow, const FlowRecord& record) const {
  const ServiceView* service = state_.view()->service(flow.service);
  if (service == nullptr) {
    return true;
  }
  const Target* derived = state_.view()->first_choice(*service, flow);
  return derived == nullptr || derived->address != record.target || record.observations > 0;
}

void FlowBinding::mark_for_replication(Partition& partition) {
  for (const auto& [flow, record] : partition.store.flows()) {
    if (needs_replication(flow, record)) {
      partition.unacknowledged.changed_flows.insert(flow);
    }
  }
}

}  // namespace gorsevalve
