#include "tasks/log_writer.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {

void LogWriter::count_dropped(LogClass log_class) {
  ++dropped_[static_cast<std::size_t>(log_class)];
  ++untold_[static_cast<std::size_t>(log_class)];
}

void LogWriter::drop_routine_lines(std::size_t needed) {
  // The first line may be half written: it stays.
  auto at = waiting_.begin();
  if (at != waiting_.end() && written_ > 0) {
    ++at;
  }
  while (at != waiting_.end() && waiting_octets_ + needed > kMaxWaiting) {
    if (at->log_class == LogClass::kRoutine) {
      waiting_octets_ -= at->line.size();
      count_dropped(at->log_class);
      at = waiting_.erase(at);
    } else {
      ++at;
    }
  }
}

void LogWriter::offer(std::string line, LogClass log_class) {
  flush();
  if (waiting_octets_ + line.size() > kMaxWaiting && log_class != LogClass::kRoutine) {
    drop_routine_lines(line.size());
  }
  if (waiting_octets_ + line.size() > kMaxWaiting) {
    count_dropped(log_class);
    return;
  }
  waiting_octets_ += line.size();
  waiting_.push_back({std::move(line), log_class});
  write_waiting();
}

void LogWriter::write_waiting() {
  while (!waiting_.empty()) {
    const std::string_view rest = std::string_view(waiting_.front().line).substr(written_);
    const std::size_t taken = std::min(sink_(rest), rest.size());
    written_ += taken;
    if (taken < rest.size()) {
      return;
    }
    waiting_octets_ -= waiting_.front().line.size();
    waiting_.pop_front();
    written_ = 0;
  }
}

void LogWriter::flush() {
  write_waiting();
  if (waiting_.empty() && untold_ != DroppedLines{}) {
    std::string line = dropped_line_(std::exchange(untold_, DroppedLines{}));
    waiting_octets_ += line.size();
    waiting_.push_back({std::move(line), LogClass::kState});
    write_waiting();
  }
}

}  // namespace gorsevalve
