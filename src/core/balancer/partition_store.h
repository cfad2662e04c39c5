/// Flows and requests of one partition, the unit of ownership, replication and handover.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <functional>
#include <vector>

#include "core/balancer/records.h"

namespace gorsevalve {

/// Allocator of request records with stable addresses. Freed records keep their buffers, so a
/// steady load does not allocate memory.
class RequestPool {
 public:
  RequestRecord* take();
  void give_back(RequestRecord* record);

 private:
  std::deque<RequestRecord> records_;
  std::vector<RequestRecord*> free_;
};

/// A message id within a flow.
struct MessageKey {
  FlowKey flow;
  std::uint16_t message_id = 0;

  friend bool operator==(const MessageKey&, const MessageKey&) = default;
};

template <typename Hasher>
Hasher AbslHashValue(Hasher state, const MessageKey& key) {  // NOLINT: name fixed by Abseil
  return Hasher::combine(std::move(state), key.flow, key.message_id);
}

/// A token within a flow.
struct TokenKey {
  FlowKey flow;
  CoapToken token;

  friend auto operator<=>(const TokenKey&, const TokenKey&) = default;
};

template <typename Hasher>
Hasher AbslHashValue(Hasher state, const TokenKey& key) {  // NOLINT: name fixed by Abseil
  return Hasher::combine(std::move(state), key.flow, key.token);
}

/// Sorts records by id. Hash maps are unordered, but effects must be deterministic.
void sort_by_id(std::vector<RequestRecord*>& records);

class PartitionStore {
 public:
  using FlowMap = absl::flat_hash_map<FlowKey, FlowRecord>;
  using RequestMap = absl::flat_hash_map<RequestId, RequestRecord*>;

  /// The pool must outlive the store.
  explicit PartitionStore(RequestPool& pool) : pool_(pool) {}
  ~PartitionStore();
  PartitionStore(const PartitionStore&) = delete;
  PartitionStore& operator=(const PartitionStore&) = delete;

  [[nodiscard]] FlowRecord* find_flow(const FlowKey& flow);
  FlowRecord& add_flow(const FlowKey& flow, const FlowRecord& record);
  void erase_flow(const FlowKey& flow);

  [[nodiscard]] RequestRecord* find_request(const RequestId& id);
  /// The request with this message id, or nullptr.
  [[nodiscard]] RequestRecord* find_message(const FlowKey& flow, std::uint16_t message_id);
  /// The latest request of the flow with this token, or nullptr.
  [[nodiscard]] RequestRecord* find_token(const FlowKey& flow, const CoapToken& token);
  /// The open observation of the flow whose last notification had this message id, or nullptr.
  [[nodiscard]] RequestRecord* find_notification(const FlowKey& flow, std::uint16_t message_id);

  /// Allocates an empty record. Lookups find it only after `index`.
  RequestRecord* new_request();
  /// Indexes a record by its id, message id and token; replaces older index entries.
  void index(RequestRecord* record);
  /// Changes the id of an indexed record.
  void change_id(RequestRecord* record, const RequestId& id);
  void erase_request(RequestRecord* record);
  /// Stores the message ids of the last notification of an observation.
  void set_last_notification(RequestRecord* record, std::uint16_t id_out, std::uint16_t id_in);

  [[nodiscard]] const FlowMap& flows() const { return flows_; }
  [[nodiscard]] FlowMap& flows() { return flows_; }
  [[nodiscard]] const RequestMap& requests() const { return requests_; }

 private:
  RequestPool& pool_;
  FlowMap flows_;
  RequestMap requests_;
  absl::flat_hash_map<MessageKey, RequestRecord*> by_message_;
  absl::flat_hash_map<TokenKey, RequestRecord*> by_token_;
  absl::flat_hash_map<MessageKey, RequestRecord*> by_notification_;
};

}  // namespace gorsevalve
