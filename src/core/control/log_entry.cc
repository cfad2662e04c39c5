#include "core/control/log_entry.h"

#include <algorithm>

namespace gorsevalve {

const ReplicaInfo* ReplicaSet::find(ReplicaId id) const {
  const auto found = std::find_if(replicas.begin(), replicas.end(),
                                  [&](const ReplicaInfo& replica) { return replica.id == id; });
  return found == replicas.end() ? nullptr : &*found;
}

bool ReplicaSet::is_voter(ReplicaId id) const {
  const ReplicaInfo* replica = find(id);
  return replica != nullptr && replica->voter;
}

std::size_t ReplicaSet::majority() const {
  const auto voters = std::count_if(replicas.begin(), replicas.end(),
                                    [](const ReplicaInfo& replica) { return replica.voter; });
  return static_cast<std::size_t>(voters) / 2 + 1;
}

}  // namespace gorsevalve
