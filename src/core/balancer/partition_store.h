/// Flows and requests of one ownership partition: the unit of state that is owned, copied to the
/// backup and handed over.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <functional>
#include <vector>

#include "core/balancer/records.h"

namespace gorsevalve {

/// Request records with stable addresses. Freed records keep their buffers for the next use, so a
/// steady load does not allocate.
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

/// Orders records by id: hash maps have no fixed order, effects must have one.
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
  /// The request that arrived with this message id, if it is remembered.
  [[nodiscard]] RequestRecord* find_message(const FlowKey& flow, std::uint16_t message_id);
  /// The latest request of the flow with this token, if it is remembered.
  [[nodiscard]] RequestRecord* find_token(const FlowKey& flow, const CoapToken& token);
  /// Open feed of the flow whose last notification had this message id.
  [[nodiscard]] RequestRecord* find_notification(const FlowKey& flow, std::uint16_t message_id);

  /// Takes an empty record; it is found by its keys only after `index`.
  RequestRecord* new_request();
  /// Makes a record findable by its id, message id and token; replaces older index entries.
  void index(RequestRecord* record);
  /// Gives a record another id.
  void change_id(RequestRecord* record, const RequestId& id);
  void erase_request(RequestRecord* record);
  /// Remembers the message ids of the last notification of a feed.
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
