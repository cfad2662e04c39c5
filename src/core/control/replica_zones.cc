#include "core/control/replica_zones.h"

#include <xxhash.h>

#include <utility>

#include "codec/archive.h"
#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kHomeSalt = 0x7461726765740000ULL;
/// A replica that has not reported for this long, six reports, is not named to targets.
constexpr Duration kReportedMemory = seconds(3);
/// A new leader has heard of all replicas after this time. Until then it would name too few of
/// them, and all targets of a zone would move to these.
constexpr Duration kFirstReports = seconds(3);
constexpr Duration kListInterval = seconds(1);

}  // namespace

void ReplicaZones::on_elected(Instant now) {
  reported_.clear();
  lists_from_ = now + kFirstReports;
}

void ReplicaZones::on_reported(const ReplicaZone& reported, Instant now) {
  reported_[reported.replica] = {reported.zone, now};
}

void ReplicaZones::on_tick(Instant now) {
  if (now < lists_from_ || now - listed_at_ < kListInterval) {
    return;
  }
  listed_at_ = now;
  std::erase_if(reported_, [&](const auto& one) { return now - one.second.at > kReportedMemory; });
  std::vector<ReplicaZone> replicas;
  replicas.reserve(reported_.size());
  for (const auto& [replica, reported] : reported_) {
    replicas.push_back({replica, reported.zone});
  }
  set(std::move(replicas));
}

void ReplicaZones::on_told(std::vector<ReplicaZone> told) { set(std::move(told)); }

void ReplicaZones::set(std::vector<ReplicaZone> replicas) {
  if (replicas == replicas_) {
    return;
  }
  replicas_ = std::move(replicas);
  const Bytes bytes = encode_archive(replicas_);
  digest_ = XXH3_64bits(bytes.data(), bytes.size());
}

std::optional<Endpoint> ReplicaZones::home_of(TargetId target, const std::string& zone) const {
  std::optional<Endpoint> best;
  std::uint64_t best_score = 0;
  for (const auto& one : replicas_) {
    const std::uint64_t score =
        rendezvous_score(target ^ (packed(one.replica) << 16U), 0, kHomeSalt);
    if (one.zone == zone && (!best || score > best_score)) {
      best = one.replica;
      best_score = score;
    }
  }
  return best;
}

}  // namespace gorsevalve
