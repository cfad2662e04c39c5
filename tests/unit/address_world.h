/// Targets that have one address in turn, for tests that play all orders of their events: the
/// control log, its leader and the processes.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/control/registration_monitor.h"
#include "core/control/steering_commands.h"
#include "core/control/target_incarnations.h"
#include "core/steering/client_packet.h"

namespace gorsevalve::shared_address {

inline constexpr Instant kStart{std::chrono::seconds(1000)};
inline constexpr Endpoint kAddress{10, 8080};
inline constexpr Endpoint kFirst{0xC6120001, 443};
inline constexpr Endpoint kSecond{0xC6120002, 443};
inline constexpr std::chrono::milliseconds kHeartbeatInterval{1200};
inline constexpr std::chrono::milliseconds kCheckInterval{500};
/// Time between the end of a target and the next use of its address.
inline constexpr std::chrono::milliseconds kReuseDelay{2500};
inline constexpr std::chrono::milliseconds kEventTime{100};
/// Long enough for the leader to find the holder of the address.
inline constexpr std::chrono::seconds kWaitTime{8};
/// A target at another address, which always answers.
inline constexpr TargetId kReference = 51;
inline constexpr Endpoint kReferenceAddress{11, 8080};

enum class Event : std::uint8_t {
  kRegister,
  /// The target starts, and its first heartbeat is held back.
  kStartUnheard,
  kHeldBackHeartbeat,
  kDrain,
  kAnnounceEnd,
  /// The process ends or crashes, and the address can be used again.
  kEnd,
};

using Script = std::vector<Event>;

inline std::string pool_of(TargetId id) { return id % 2 == 0 ? "beta" : "alpha"; }

/// Control log, leader and targets. Copied for each order that begins alike.
class AddressWorld {
 public:
  struct Life {
    bool is_running = false;
    bool announced_end = false;
    TargetPhase phase = TargetPhase::kReady;
    std::uint64_t sequence = 0;
    /// Announcements that a cut holds back.
    std::vector<RegisteredTarget> held_back;
  };
  struct Revision {
    SteeringDelta delta;
    Instant at;
  };

  /// With `has_clients`, flows open at the running target, and the leader learns that others at the
  /// address are gone.
  AddressWorld(std::size_t lives, bool has_clients) : has_clients_(has_clients), lives_(lives + 1) {
    SteeringSettings settings;
    settings.version = 1;
    settings.idle_timeout_ms = 60000;
    settings.pools = {{"alpha", 9}, {"beta", 9}};
    settings.frontends = {{"first", kFirst, {{"alpha", 1}}, {}, 1000, 100},
                          {"second", kSecond, {{"beta", 1}}, {}, 1000, 100}};
    commit(steering_delta(state_, settings));
    RegisteredTarget reference = make_announcement(kReference);
    reference.address = kReferenceAddress;
    reference.pool = "alpha";
    RegistrationCommand command;
    command.announced = {reference};
    commit(command);
    monitor_.on_elected(now_);
  }

  /// Until `hear_all`, the leader gets nothing from the target.
  void cut_from_leader(TargetId id) { unheard_ = id; }
  /// An announced end that was not acknowledged is sent again.
  void hear_all() {
    const TargetId id = std::exchange(unheard_, 0);
    if (id != 0 && lives_[id].is_running && lives_[id].announced_end) {
      announce_end(id);
    }
  }
  /// A new leader knows the log, but not when targets were last heard.
  void elect_leader() { monitor_.on_elected(now_); }

  void play(TargetId id, Event event) {
    Life& life = lives_[id];
    advance(kEventTime, true);
    switch (event) {
      case Event::kRegister:
        life.is_running = true;
        receive(make_announcement(id));
        break;
      case Event::kStartUnheard:
        life.is_running = true;
        life.held_back.push_back(make_announcement(id));
        break;
      case Event::kHeldBackHeartbeat:
        life.held_back.push_back(make_announcement(id));
        break;
      case Event::kDrain:
        life.phase = TargetPhase::kDraining;
        if (id != unheard_) {
          receive(make_announcement(id));
        }
        break;
      case Event::kAnnounceEnd:
        announce_end(id);
        break;
      case Event::kEnd:
        life.is_running = false;
        advance(kReuseDelay, true);
        break;
    }
  }

  void deliver(TargetId id) {
    advance(kEventTime, true);
    std::vector<RegisteredTarget>& held_back = lives_[id].held_back;
    receive(held_back.front());
    held_back.erase(held_back.begin());
  }

  /// Lets time pass. Running targets announce themselves unless a cut keeps that from the leader.
  void advance(Duration time, bool are_heartbeats_received) {
    for (const Instant end = now_ + time; now_ < end; now_ += std::chrono::milliseconds(100)) {
      if (are_heartbeats_received && now_ >= next_heartbeat_) {
        next_heartbeat_ = now_ + kHeartbeatInterval;
        send_heartbeats();
      }
      if (now_ >= next_check_) {
        next_check_ = now_ + kCheckInterval;
        commit(monitor_.check_timeouts(state_, now_));
      }
    }
  }

  [[nodiscard]] const Life& life(TargetId id) const { return lives_[id]; }
  /// False for a target that is unknown, or known by its end only: no flow can be open there.
  [[nodiscard]] bool is_registered(TargetId id) const {
    const RegisteredTarget* target = find_target(state_, id);
    return target != nullptr && target->address == kAddress;
  }
  /// A packet with data of an open flow at a target.
  [[nodiscard]] ClientPacket packet_of(TargetId id, std::uint16_t port) const {
    ClientPacket packet;
    packet.flow = {{0x64400007, port}, pool_of(id) == "alpha" ? kFirst : kSecond};
    packet.token = state_.targets.at(id).token;
    packet.acknowledged = 1;
    packet.data_size = 100;
    return packet;
  }
  [[nodiscard]] std::size_t lives() const { return lives_.size() - 1; }
  [[nodiscard]] const SteeringState& state() const { return state_; }
  [[nodiscard]] const std::vector<Revision>& revisions() const { return revisions_; }
  [[nodiscard]] Instant now() const { return now_; }
  /// The target whose process runs; 0 if there is none.
  [[nodiscard]] TargetId running() const {
    for (TargetId id = 1; id < lives_.size(); ++id) {
      if (lives_[id].is_running) {
        return id;
      }
    }
    return 0;
  }
  /// The target that runs and announces itself; 0 if there is none.
  [[nodiscard]] TargetId announcing() const {
    for (TargetId id = 1; id < lives_.size(); ++id) {
      if (lives_[id].is_running && !lives_[id].announced_end) {
        return id;
      }
    }
    return 0;
  }

 private:
  RegisteredTarget make_announcement(TargetId id) {
    RegisteredTarget target;
    target.id = id;
    target.pool = pool_of(id);
    target.address = kAddress;
    target.sequence = 1;
    if (id < lives_.size()) {
      target.phase = lives_[id].phase;
      target.sequence = ++lives_[id].sequence;
    }
    return target;
  }

  void commit(const std::optional<SteeringDelta>& delta) {
    if (delta) {
      apply_steering_delta(state_, *delta);
      revisions_.push_back({*delta, now_});
    }
  }
  void commit(const RegistrationCommand& command) {
    if (command.empty()) {
      return;
    }
    commit(steering_delta(state_, command, TokenIndex(state_)));
  }

  void receive(const RegisteredTarget& announced) {
    monitor_.on_announcement(announced.incarnation(), now_);
    if (!changes_registration(announced, find_target(state_, announced.id))) {
      return;
    }
    RegistrationCommand command;
    command.announced = {announced};
    commit(command);
  }

  void announce_end(TargetId id) {
    lives_[id].announced_end = true;
    if (id == unheard_) {
      return;
    }
    RegistrationCommand command;
    command.ended = {{id, 0}};
    commit(command);
  }

  /// A balancer reports what a flow that opened at the running target shows. It knows the others.
  void report_replaced() {
    std::vector<TargetStatistics> observations;
    for (TargetId id = 1; id < lives_.size(); ++id) {
      if (id != running() && is_registered(id)) {
        TargetStatistics observed;
        observed.token = state_.targets.at(id).token;
        observed.replaced = TargetStart{0};
        observations.push_back(observed);
      }
    }
    monitor_.on_observations(observations, state_);
  }

  void send_heartbeats() {
    if (has_clients_ && running() != 0 && is_registered(running())) {
      report_replaced();
    }
    monitor_.on_announcement({kReference, 0}, now_);
    if (const TargetId id = announcing(); id != 0 && id != unheard_) {
      receive(make_announcement(id));
    }
  }

  bool has_clients_;
  std::vector<Life> lives_;
  SteeringState state_;
  std::vector<Revision> revisions_;
  RegistrationMonitor monitor_{RegistrationTiming{}};
  Instant now_ = kStart;
  Instant next_heartbeat_ = kStart;
  Instant next_check_ = kStart;
  /// The target whose messages don't reach the leader; 0 if there is none.
  TargetId unheard_ = 0;
};

/// Name of an event in messages of tests.
inline const char* name(Event event) {
  switch (event) {
    case Event::kRegister:
      return "registers";
    case Event::kStartUnheard:
      return "starts-unheard";
    case Event::kHeldBackHeartbeat:
      return "heartbeat-held-back";
    case Event::kDrain:
      return "drains";
    case Event::kAnnounceEnd:
      return "announces-end";
    case Event::kEnd:
      return "ends";
  }
  return "";
}

/// All combinations of how a target starts, whether another heartbeat is held back, and how it
/// leaves. The last one of an address need not end.
inline std::vector<Script> scripts(bool with_held_back, bool is_last) {
  std::vector<Script> leaving = {{Event::kEnd},
                                 {Event::kAnnounceEnd, Event::kEnd},
                                 {Event::kDrain, Event::kAnnounceEnd, Event::kEnd}};
  if (is_last) {
    leaving = {{Event::kAnnounceEnd}, {Event::kDrain, Event::kAnnounceEnd}};
  }
  std::vector<Script> all;
  for (const Event first : {Event::kRegister, Event::kStartUnheard}) {
    for (const bool is_held_back : {false, true}) {
      for (const Script& end : leaving) {
        Script script = {first};
        if (is_held_back) {
          script.push_back(Event::kHeldBackHeartbeat);
        }
        script.insert(script.end(), end.begin(), end.end());
        if (!is_held_back || with_held_back) {
          all.push_back(script);
        }
      }
    }
  }
  return all;
}

}  // namespace gorsevalve::shared_address
