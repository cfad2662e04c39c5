/// Bounded queue of log lines. It never blocks: if the reader of the output is slow and the queue
/// is full, routine lines are dropped first, and their number is reported later.
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
  /// Writes as many bytes as possible without blocking and returns their number.
  using Sink = std::function<std::size_t(std::string_view)>;
  /// Formats the line that reports dropped lines.
  using DroppedLinesFormatter = std::function<std::string(const DroppedLines&)>;

  /// Limit of queued bytes.
  static constexpr std::size_t kMaxQueuedBytes = 256U << 10U;

  LogWriter(Sink sink, DroppedLinesFormatter dropped_line)
      : sink_(std::move(sink)), format_dropped_(std::move(dropped_line)) {}

  /// Queues a line and writes as much as the reader accepts.
  void offer(std::string line, LogClass log_class);
  /// Writes as much as the reader accepts; to be called regularly.
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
  /// Bytes of the first line that are already written.
  std::size_t head_written_ = 0;
  DroppedLines dropped_{};
  /// Dropped lines that are not reported yet.
  DroppedLines unreported_{};
};

}  // namespace gorsevalve
