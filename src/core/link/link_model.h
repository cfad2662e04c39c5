/// What a balancer knows of its machine's own link: how much came and went lately, and how long
/// what was handed to it still needs to leave. A machine tells a process nothing of its link, so
/// this is worked out from the rate in its settings. A state machine without sockets or clocks.
#pragma once

#include <cstddef>

#include "model/time.h"

namespace gorsevalve {

class LinkModel {
 public:
  /// `octets_per_s` is the rate each way; 0 when it is not known: such a link is never busy.
  explicit LinkModel(double octets_per_s) : rate_(octets_per_s * kUsableShare) {}

  /// What IPv4 (20), UDP (8) and Ethernet (18) add to each datagram, in octets.
  static constexpr std::size_t kFramingBytes = 46;
  /// Share of the rate that datagrams may use; the rest is for connections to control replicas and
  /// targets, and for timers that fire late. With all of it, and without framing, links beside
  /// other traffic lost a tenth of what transfers sent (885 of 8,722 packets came again; with both,
  /// 7 of 7,752).
  static constexpr double kUsableShare = 0.95;

  /// Sizes are of datagrams without their framing, in octets.
  void on_received(std::size_t octets, Instant now) { in_.add(octets + kFramingBytes, now, rate_); }
  void on_sent(std::size_t octets, Instant now) { out_.add(octets + kFramingBytes, now, rate_); }

  /// Octets per second that may be used each way; 0 when the rate is not known.
  [[nodiscard]] double rate() const { return rate_; }
  [[nodiscard]] bool is_rate_known() const { return rate_ > 0; }
  /// How long a datagram that is handed to the link now waits before it leaves.
  [[nodiscard]] Duration send_backlog(Instant now) const { return out_.backlog(now, rate_); }
  /// When what was handed to the link will have left.
  [[nodiscard]] Instant send_backlog_end() const { return out_.backlog_end(rate_); }
  /// Share of the rate that was used lately, 0 to 1.
  [[nodiscard]] double receive_utilization(Instant now) const {
    return in_.utilization(now, rate_);
  }
  [[nodiscard]] double send_utilization(Instant now) const { return out_.utilization(now, rate_); }
  /// True while the link is so busy that an answer may be late for want of room: silence then says
  /// nothing of the other end.
  [[nodiscard]] bool is_congested(Instant now) const;

 private:
  /// One direction.
  class Direction {
   public:
    void add(std::size_t octets, Instant now, double rate);
    [[nodiscard]] Duration backlog(Instant now, double rate) const;
    [[nodiscard]] Instant backlog_end(double rate) const;
    [[nodiscard]] double utilization(Instant now, double rate) const;

   private:
    /// Octets that had not left at `updated_at_`, as the rate has it.
    double queued_bytes_ = 0;
    /// Octets of late, each losing half of its weight in kHalfLife.
    double decayed_bytes_ = 0;
    Instant updated_at_;
  };

  double rate_;
  Direction in_;
  Direction out_;
};

}  // namespace gorsevalve
