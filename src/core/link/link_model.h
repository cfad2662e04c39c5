/// Estimates the utilization and the send backlog of this machine's own link from its configured
/// rate, since the operating system does not report them to the process. Deterministic, does no I/O
/// and reads no clock.
#pragma once

#include <cstddef>

#include "model/time.h"

namespace gorsevalve {

class LinkModel {
 public:
  /// `bytes_per_s` is the rate in each direction; 0 means unknown, and such a link is never
  /// congested.
  explicit LinkModel(double bytes_per_s) : rate_(bytes_per_s * kUsableShare) {}

  /// Overhead of each datagram in bytes: IPv4 (20), UDP (8) and Ethernet (18).
  static constexpr std::size_t kFramingBytes = 46;
  /// Share of the rate that datagrams may use. The rest is for connections to control replicas and
  /// targets, and for timers that fire late. Without it, and without the overhead above, links with
  /// other traffic drop a tenth of the packets of transfers.
  static constexpr double kUsableShare = 0.95;

  /// Sizes are in bytes, without framing.
  void on_received(std::size_t bytes, Instant now) { in_.add(bytes + kFramingBytes, now, rate_); }
  void on_sent(std::size_t bytes, Instant now) { out_.add(bytes + kFramingBytes, now, rate_); }

  /// Usable bytes per second in each direction; 0 when the rate is unknown.
  [[nodiscard]] double rate() const { return rate_; }
  [[nodiscard]] bool is_rate_known() const { return rate_ > 0; }
  /// Queueing delay of a datagram that is passed to the link at `now`.
  [[nodiscard]] Duration send_backlog(Instant now) const { return out_.backlog(now, rate_); }
  /// Time at which the link will have sent everything that was passed to it.
  [[nodiscard]] Instant send_backlog_end() const { return out_.backlog_end(rate_); }
  /// Recent traffic divided by the usable rate; may exceed 1 after a burst.
  [[nodiscard]] double receive_utilization(Instant now) const {
    return in_.utilization(now, rate_);
  }
  [[nodiscard]] double send_utilization(Instant now) const { return out_.utilization(now, rate_); }
  /// True while queueing on the link may delay replies so long that a missing reply does not
  /// indicate a failed peer.
  [[nodiscard]] bool is_congested(Instant now) const;

 private:
  /// Backlog and utilization of one direction.
  class Direction {
   public:
    void add(std::size_t bytes, Instant now, double rate);
    [[nodiscard]] Duration backlog(Instant now, double rate) const;
    [[nodiscard]] Instant backlog_end(double rate) const;
    [[nodiscard]] double utilization(Instant now, double rate) const;

   private:
    /// Bytes not yet sent at `updated_at_`, according to the rate.
    double queued_bytes_ = 0;
    /// Exponentially decaying sum of bytes with half-life kHalfLife.
    double decayed_bytes_ = 0;
    Instant updated_at_;
  };

  double rate_;
  Direction in_;
  Direction out_;
};

}  // namespace gorsevalve
