#include "core/balancer/partition_store.h"

#include <algorithm>

namespace gorsevalve {
namespace {

/// Resets the record to its initial values but keeps the capacity of its buffers.
void reset(RequestRecord& record) {
  Bytes request_buffer = std::move(record.request);
  Bytes response_buffer = std::move(record.response);
  request_buffer.clear();
  response_buffer.clear();
  record = RequestRecord{};
  record.request = std::move(request_buffer);
  record.response = std::move(response_buffer);
}

template <typename Map, typename Key>
RequestRecord* find_in(Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : found->second;
}

template <typename Map, typename Key>
void erase_if_points_to(Map& map, const Key& key, const RequestRecord* record) {
  const auto found = map.find(key);
  if (found != map.end() && found->second == record) {
    map.erase(found);
  }
}

}  // namespace

RequestRecord* RequestPool::take() {
  if (free_.empty()) {
    return &records_.emplace_back();
  }
  RequestRecord* record = free_.back();
  free_.pop_back();
  return record;
}

void RequestPool::give_back(RequestRecord* record) {
  reset(*record);
  free_.push_back(record);
}

void sort_by_id(std::vector<RequestRecord*>& records) {
  std::sort(records.begin(), records.end(),
            [](const RequestRecord* a, const RequestRecord* b) { return a->id < b->id; });
}

PartitionStore::~PartitionStore() {
  for (const auto& [id, record] : requests_) {
    pool_.give_back(record);
  }
}

FlowRecord* PartitionStore::find_flow(const FlowKey& flow) {
  const auto found = flows_.find(flow);
  return found == flows_.end() ? nullptr : &found->second;
}

FlowRecord& PartitionStore::add_flow(const FlowKey& flow, const FlowRecord& record) {
  return flows_.insert_or_assign(flow, record).first->second;
}

void PartitionStore::erase_flow(const FlowKey& flow) { flows_.erase(flow); }

RequestRecord* PartitionStore::find_request(const RequestId& id) { return find_in(requests_, id); }

RequestRecord* PartitionStore::find_message(const FlowKey& flow, std::uint16_t message_id) {
  return find_in(by_message_, MessageKey{flow, message_id});
}

RequestRecord* PartitionStore::find_token(const FlowKey& flow, const CoapToken& token) {
  return find_in(by_token_, TokenKey{flow, token});
}

RequestRecord* PartitionStore::find_notification(const FlowKey& flow, std::uint16_t message_id) {
  return find_in(by_notification_, MessageKey{flow, message_id});
}

void PartitionStore::set_last_notification(RequestRecord* record, std::uint16_t id_out,
                                           std::uint16_t id_in) {
  erase_if_points_to(by_notification_,
                     MessageKey{record->flow, record->observe_state.message_id_out}, record);
  record->observe_state.message_id_out = id_out;
  record->observe_state.message_id_in = id_in;
  by_notification_[MessageKey{record->flow, id_out}] = record;
}

RequestRecord* PartitionStore::new_request() { return pool_.take(); }

void PartitionStore::index(RequestRecord* record) {
  requests_[record->id] = record;
  by_message_[MessageKey{record->flow, record->message_id}] = record;
  by_token_[TokenKey{record->flow, record->token}] = record;
}

void PartitionStore::change_id(RequestRecord* record, const RequestId& id) {
  requests_.erase(record->id);
  record->id = id;
  requests_[id] = record;
}

void PartitionStore::erase_request(RequestRecord* record) {
  requests_.erase(record->id);
  erase_if_points_to(by_message_, MessageKey{record->flow, record->message_id}, record);
  erase_if_points_to(by_token_, TokenKey{record->flow, record->token}, record);
  erase_if_points_to(by_notification_,
                     MessageKey{record->flow, record->observe_state.message_id_out}, record);
  pool_.give_back(record);
}

}  // namespace gorsevalve
