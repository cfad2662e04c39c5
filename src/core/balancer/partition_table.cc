#include "core/balancer/partition_table.h"

#include <algorithm>

namespace gorsevalve {

Partition& PartitionTable::at(PartitionId id) {
  if (id >= by_id_.size()) {
    by_id_.resize(id + 1);
  }
  auto& slot = by_id_[id];
  if (slot == nullptr) {
    slot = std::make_unique<Partition>(id, pool_);
    const auto position = std::lower_bound(
        used_.begin(), used_.end(), id,
        [](const Partition* partition, PartitionId value) { return partition->id < value; });
    used_.insert(position, slot.get());
  }
  return *slot;
}

Partition* PartitionTable::find(PartitionId id) const {
  return id < by_id_.size() ? by_id_[id].get() : nullptr;
}

}  // namespace gorsevalve
