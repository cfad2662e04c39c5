/// The part of the steering task that sends packets to targets over the machine's link.
#include <algorithm>
#include <cmath>

#include "tasks/log.h"
#include "tasks/steering_task.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// Queueing delay that is logged: a quarter of the usual retransmission timeout.
constexpr Duration kQueueingDelayLogThreshold = milliseconds(50);
constexpr Duration kLinkLogInterval = std::chrono::seconds(1);
/// Resolution of the timers of the event loop.
constexpr Duration kMinSendDelay = milliseconds(1);

}  // namespace

void SteeringTask::reject_for_full_link(const ClientPacket& packet) {
  log_event(LogEvent::kFlowDecision,
            {{"flow", to_string(packet.flow.client) + ">" + to_string(packet.flow.frontend)},
             {"reason", "link_full"},
             {"copies_before", packet.retransmissions},
             {"committed_ms", link_.admission().expected_drain_time() / milliseconds(1)},
             {"bulk_flows", link_.admission().flows()}});
  send_reset(reset_of(packet));
}

void SteeringTask::forward(const ClientPacket& packet, ByteView datagram,
                           const RegisteredTarget& target, Instant now) {
  const std::size_t size = format_.forwarded_size(datagram.size());
  std::span<std::uint8_t> out;
  if (link_.scheduler().can_send_immediately(now)) {
    link_.scheduler().on_sent_immediately(size, now);
    out = socket_->reserve(target.address, size);
  } else {
    const PacketDeadlines deadlines =
        LinkShaper::packet_deadlines(steering_.frontend(packet.flow.frontend), packet.opens);
    out = link_.scheduler().enqueue(packet, target.address, size, deadlines, now);
    schedule_send(now);
  }
  if (!out.empty()) {
    format_.write_forwarded(datagram, target, out);
  }
}

void SteeringTask::send_queued(Instant now) {
  while (const auto packet = link_.scheduler().dequeue(now)) {
    socket_->send(packet->to, packet->bytes);
    if (packet->queueing_delay > kQueueingDelayLogThreshold) {
      log_queueing_delay(packet->queueing_delay, now);
    }
  }
  socket_->flush();
  schedule_send(now);
}

void SteeringTask::log_queueing_delay(Duration queueing_delay, Instant now) {
  if (now - link_logged_at_ < kLinkLogInterval) {
    return;
  }
  link_logged_at_ = now;
  const LinkScheduler& scheduler = link_.scheduler();
  const LinkCounters& counters = scheduler.counters();
  constexpr double kPercent = 100;
  log_event(LogEvent::kLinkBusy,
            {{"waiting", scheduler.queued_packets()},
             {"octets", scheduler.queued_bytes()},
             {"waited_ms", queueing_delay / milliseconds(1)},
             {"receive_percent", std::lround(link_.model().receive_utilization(now) * kPercent)},
             {"send_percent", std::lround(link_.model().send_utilization(now) * kPercent)},
             {"copies_spared", counters.retransmissions_suppressed},
             {"dropped_when_full", counters.dropped_queue_full},
             {"dropped_as_given_up", counters.dropped_expired}});
}

void SteeringTask::schedule_send(Instant now) {
  const auto next = link_.scheduler().next_dequeue_at();
  if (!next || send_scheduled_) {
    return;
  }
  send_scheduled_ = true;
  loop_.after(std::max(*next - now, kMinSendDelay), [this] {
    send_scheduled_ = false;
    send_queued(monotonic_now());
  });
}

}  // namespace gorsevalve
