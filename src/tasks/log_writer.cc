#include "tasks/log_writer.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {

void LogWriter::count_dropped(LogClass log_class) {
  ++dropped_[static_cast<std::size_t>(log_class)];
  ++unreported_[static_cast<std::size_t>(log_class)];
}

void LogWriter::drop_routine_lines(std::size_t needed) {
  // A partially written first line must stay.
  auto queued = queue_.begin();
  if (queued != queue_.end() && head_written_ > 0) {
    ++queued;
  }
  while (queued != queue_.end() && queued_bytes_ + needed > kMaxQueuedBytes) {
    if (queued->log_class == LogClass::kRoutine) {
      queued_bytes_ -= queued->line.size();
      count_dropped(queued->log_class);
      queued = queue_.erase(queued);
    } else {
      ++queued;
    }
  }
}

void LogWriter::offer(std::string line, LogClass log_class) {
  flush();
  if (queued_bytes_ + line.size() > kMaxQueuedBytes && log_class != LogClass::kRoutine) {
    drop_routine_lines(line.size());
  }
  if (queued_bytes_ + line.size() > kMaxQueuedBytes) {
    count_dropped(log_class);
    return;
  }
  queued_bytes_ += line.size();
  queue_.push_back({std::move(line), log_class});
  write_queued();
}

void LogWriter::write_queued() {
  while (!queue_.empty()) {
    const std::string_view unwritten = std::string_view(queue_.front().line).substr(head_written_);
    const std::size_t accepted = std::min(sink_(unwritten), unwritten.size());
    head_written_ += accepted;
    if (accepted < unwritten.size()) {
      return;
    }
    queued_bytes_ -= queue_.front().line.size();
    queue_.pop_front();
    head_written_ = 0;
  }
}

void LogWriter::flush() {
  write_queued();
  if (queue_.empty() && unreported_ != DroppedLines{}) {
    std::string line = format_dropped_(std::exchange(unreported_, DroppedLines{}));
    queued_bytes_ += line.size();
    queue_.push_back({std::move(line), LogClass::kState});
    write_queued();
  }
}

}  // namespace gorsevalve
