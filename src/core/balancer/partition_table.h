/// The partitions that a balancer knows, by number. Iteration is in the order of the numbers, so
/// that a run with the same inputs has the same effects.
#pragma once

#include <memory>
#include <vector>

#include "core/balancer/partition.h"

namespace gorsevalve {

class PartitionTable {
 public:
  /// The pool must outlive the table.
  explicit PartitionTable(RequestPool& pool) : pool_(pool) {}

  /// The partition with this number; made on first use. Numbers are small: the caller has checked
  /// that it is below FleetState::partitions.
  Partition& at(PartitionId id);
  /// The partition with this number, or nullptr when it was never used.
  [[nodiscard]] Partition* find(PartitionId id) const;

  /// All partitions that were used, in the order of their numbers.
  [[nodiscard]] const std::vector<Partition*>& used() const { return used_; }

 private:
  RequestPool& pool_;
  std::vector<std::unique_ptr<Partition>> by_id_;
  std::vector<Partition*> used_;
};

}  // namespace gorsevalve
