/// Bounded queue between the process and whoever reads its log. Never waits: when the reader is
/// slow and the queue is full, routine lines are dropped first, and the number is told later.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "tasks/log_events.h"

namespace gorsevalve {

using DroppedLines = std::array<std::uint64_t, kLogClassCount>;

class LogWriter {
 public:
  /// Takes as many octets as it can without waiting; gives their number.
  using Sink = std::function<std::size_t(std::string_view)>;
  /// Makes the line that tells of dropped ones.
  using DroppedLinesFormatter = std::function<std::string(const DroppedLines&)>;

  /// Octets that wait at most.
  static constexpr std::size_t kMaxQueuedBytes = 256U << 10U;

  LogWriter(Sink sink, DroppedLinesFormatter dropped_line)
      : sink_(std::move(sink)), format_dropped_(std::move(dropped_line)) {}

  /// Queues a line and writes what the reader takes.
  void offer(std::string line, LogClass log_class);
  /// Writes what the reader takes; to be called now and then.
  void flush();

  [[nodiscard]] std::size_t queued_bytes() const { return queued_bytes_; }
  /// Lines dropped since the start.
  [[nodiscard]] const DroppedLines& dropped() const { return dropped_; }

 private:
  struct QueuedLine {
    std::string line;
    LogClass log_class;
  };

  void write_queued();
  void drop_routine_lines(std::size_t needed);
  void count_dropped(LogClass log_class);

  Sink sink_;
  DroppedLinesFormatter format_dropped_;
  std::deque<QueuedLine> queue_;
  std::size_t queued_bytes_ = 0;
  /// Octets of the first line that were written already.
  std::size_t head_written_ = 0;
  DroppedLines dropped_{};
  /// Dropped lines that no line has told of yet.
  DroppedLines unreported_{};
};

}  // namespace gorsevalve
