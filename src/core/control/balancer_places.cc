#include "core/control/balancer_places.h"

#include <algorithm>
#include <utility>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kOrderSalt = 0x706c61636500ULL;
/// A balancer that was not heard here for this long reports to another replica, or is lost.
constexpr Duration kLocalMemory = seconds(4);
/// A lost balancer keeps its number for this long: its turns go unused, which harms nobody, while a
/// smaller count would let others take more before all of them know it.
constexpr Duration kHeardMemory = seconds(60);
/// A new leader has heard of all balancers after this time: three reports of its followers. Until
/// then it would number too few of them.
constexpr Duration kFirstReports = seconds(3);
constexpr Duration kNumberInterval = seconds(1);
/// A replica that did not hear from the leader for this long tells nothing, either.
constexpr Duration kToldLifetime = seconds(10);

}  // namespace

void BalancerPlaces::on_heard(const Endpoint& balancer, Instant now) {
  local_[balancer] = now;
  heard_[balancer] = now;
}

std::vector<Endpoint> BalancerPlaces::local_balancers(Instant now) const {
  std::vector<Endpoint> balancers;
  for (const auto& [balancer, heard_at] : local_) {
    if (now - heard_at < kLocalMemory) {
      balancers.push_back(balancer);
    }
  }
  return balancers;
}

void BalancerPlaces::on_told(const std::vector<PlacedBalancer>& told, Instant now) {
  std::erase_if(local_, [&](const auto& entry) { return now - entry.second > kHeardMemory; });
  if (told.empty()) {
    // A new leader has not numbered anybody yet: what the one before told holds for a while.
    return;
  }
  places_.clear();
  places_at_ = now;
  for (const auto& one : told) {
    places_[one.balancer] = one.place;
  }
}

void BalancerPlaces::on_elected(Instant now) {
  heard_ = local_;
  places_.clear();
  numbers_from_ = now + kFirstReports;
}

void BalancerPlaces::on_reported(const std::vector<Endpoint>& balancers, Instant now) {
  for (const auto& balancer : balancers) {
    heard_[balancer] = now;
  }
}

void BalancerPlaces::number_all(Instant now) {
  if (now < numbers_from_ || now - places_at_ < kNumberInterval) {
    return;
  }
  places_at_ = now;
  std::erase_if(local_, [&](const auto& entry) { return now - entry.second > kHeardMemory; });
  std::erase_if(heard_, [&](const auto& entry) { return now - entry.second > kHeardMemory; });
  // By hash, so that those of one zone, which are cut off or restarted together, are spread.
  std::vector<std::pair<std::uint64_t, Endpoint>> order;
  order.reserve(heard_.size());
  for (const auto& [balancer, heard_at] : heard_) {
    order.emplace_back(rendezvous_score(packed(balancer), 0, kOrderSalt), balancer);
  }
  std::sort(order.begin(), order.end());
  places_.clear();
  const auto count = static_cast<std::uint32_t>(order.size());
  for (std::uint32_t number = 0; number < count; ++number) {
    places_[order[number].second] = {number, count};
  }
}

std::vector<PlacedBalancer> BalancerPlaces::places_of(const std::vector<Endpoint>& balancers,
                                                      Instant now) const {
  std::vector<PlacedBalancer> result;
  for (const auto& balancer : balancers) {
    const BalancerRank place = place_of(balancer, now);
    if (place.count > 0) {
      result.push_back({balancer, place});
    }
  }
  return result;
}

BalancerRank BalancerPlaces::place_of(const Endpoint& balancer, Instant now) const {
  const auto found = places_.find(balancer);
  const bool is_told = found != places_.end() && now - places_at_ < kToldLifetime;
  return is_told ? found->second : BalancerRank{};
}

}  // namespace gorsevalve
