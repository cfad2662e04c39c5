/// The partitions of a balancer, by number. Iteration is ordered by number, so that runs with the
/// same inputs have the same effects.
#pragma once

#include <memory>
#include <vector>

#include "core/balancer/partition.h"

namespace gorsevalve {

class PartitionTable {
 public:
  /// The pool must outlive the table.
  explicit PartitionTable(RequestPool& pool) : pool_(pool) {}

  /// The partition with this number, created on first use. Callers must check that the number is
  /// below FleetState::partitions.
  Partition& at(PartitionId id);
  /// The partition with this number, or nullptr when it has never been used.
  [[nodiscard]] Partition* find(PartitionId id) const;

  /// All partitions that have been used, ordered by number.
  [[nodiscard]] const std::vector<Partition*>& used() const { return used_; }

 private:
  RequestPool& pool_;
  std::vector<std::unique_ptr<Partition>> by_id_;
  std::vector<Partition*> used_;
};

}  // namespace gorsevalve
