#include "tasks/log.h"

#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <mutex>

namespace gorsevalve {
namespace {

/// Name and zone of this process. Set once before other threads start.
struct ProcessLabels {
  std::string node;
  std::string zone;
};

ProcessLabels& labels() {
  static ProcessLabels value;
  return value;
}

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

log4cxx::LevelPtr to_level(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

/// RFC 3339 timestamp in UTC with milliseconds.
std::string timestamp() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const std::size_t size = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + size, sizeof(text) - size, ".%03dZ", static_cast<int>(milliseconds));
  return text;
}

std::string make_line(const LogEventInfo& info, const nlohmann::json& fields) {
  nlohmann::ordered_json line = {{"time", timestamp()},
                                 {"level", kLevelNames[static_cast<std::size_t>(info.level)]},
                                 {"event", info.name},
                                 {"node", labels().node},
                                 {"zone", labels().zone}};
  for (const auto& [key, value] : fields.items()) {
    line[key] = value;
  }
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::size_t write_nonblocking(std::string_view text) {
  const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
  return written < 0 ? 0 : static_cast<std::size_t>(written);
}

std::string format_dropped_lines(const DroppedLines& dropped) {
  return make_line(info_of(LogEvent::kLogLinesDropped),
                   {{"routine", dropped[static_cast<std::size_t>(LogClass::kRoutine)]},
                    {"state", dropped[static_cast<std::size_t>(LogClass::kState)]}}) +
         "\n";
}

/// Queue to standard output, shared by all threads.
struct StandardOutput {
  std::mutex mutex;
  LogWriter writer{write_nonblocking, format_dropped_lines};
};

StandardOutput& standard_output() {
  static StandardOutput value;
  return value;
}

/// Class of the line that this thread is writing; log4cxx does not pass it to the appender.
thread_local LogClass current_log_class = LogClass::kState;

}  // namespace

// Macros of log4cxx use its nested namespaces unqualified.
namespace helpers = log4cxx::helpers;
namespace spi = log4cxx::spi;

/// log4cxx appender that writes to the bounded queue.
class QueueAppender : public log4cxx::AppenderSkeleton {
 public:
  DECLARE_LOG4CXX_OBJECT(QueueAppender)
  BEGIN_LOG4CXX_CAST_MAP()
  LOG4CXX_CAST_ENTRY(QueueAppender)
  LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
  END_LOG4CXX_CAST_MAP()

  void close() override {}
  [[nodiscard]] bool requiresLayout() const override { return false; }  // NOLINT: log4cxx's name

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) override {
    LOG4CXX_ENCODE_CHAR(line, event->getRenderedMessage());
    line += '\n';
    StandardOutput& output = standard_output();
    const std::lock_guard<std::mutex> lock(output.mutex);
    output.writer.offer(std::move(line), current_log_class);
  }
};

}  // namespace gorsevalve

// This macro must be used in the global namespace.
using gorsevalve::QueueAppender;
IMPLEMENT_LOG4CXX_OBJECT(QueueAppender)

namespace gorsevalve {
namespace {

/// Limits the lines per second of each routine event.
class RateLimit {
 public:
  /// True if the line may be written. `suppressed_before` then receives the number of lines
  /// suppressed before it.
  bool allow(LogEvent event, std::uint64_t& suppressed_before) {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            std::chrono::steady_clock::now().time_since_epoch())
                            .count();
    const std::lock_guard<std::mutex> lock(mutex_);
    State& state = states_[static_cast<std::size_t>(event)];
    if (state.second != second) {
      state.second = second;
      state.written = 0;
    }
    if (state.written >= kRoutineLinesPerSecond) {
      ++state.suppressed;
      return false;
    }
    ++state.written;
    suppressed_before = std::exchange(state.suppressed, 0);
    return true;
  }

 private:
  struct State {
    std::int64_t second = 0;
    std::uint64_t written = 0;
    std::uint64_t suppressed = 0;
  };
  std::mutex mutex_;
  std::array<State, kLogEvents.size()> states_{};
};

RateLimit& rate_limit() {
  static RateLimit value;
  return value;
}

}  // namespace

bool init_logging(const std::string& node, const std::string& zone, const std::string& level,
                  const std::string& path) {
  const auto found = std::find(kLevelNames.begin(), kLevelNames.end(), level);
  if (found == kLevelNames.end()) {
    return false;
  }
  labels() = {node, zone};
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  if (path.empty()) {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    root->addAppender(std::make_shared<QueueAppender>());
  } else {
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    root->addAppender(std::make_shared<log4cxx::FileAppender>(layout, path, true));
  }
  root->setLevel(to_level(static_cast<LogLevel>(found - kLevelNames.begin())));
  return true;
}

void log_event(LogEvent event, const nlohmann::json& fields) {
  const LogEventInfo& info = info_of(event);
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  const log4cxx::LevelPtr log4cxx_level = to_level(info.level);
  std::uint64_t suppressed_before = 0;
  if (!logger->isEnabledFor(log4cxx_level) ||
      (info.log_class == LogClass::kRoutine && !rate_limit().allow(event, suppressed_before))) {
    return;
  }
  current_log_class = info.log_class;
  if (suppressed_before == 0) {
    LOG4CXX_LOG(logger, log4cxx_level, make_line(info, fields));
    return;
  }
  nlohmann::json with_count = fields;
  with_count["left_out_before"] = suppressed_before;
  LOG4CXX_LOG(logger, log4cxx_level, make_line(info, with_count));
}

void flush_log() {
  StandardOutput& output = standard_output();
  const std::lock_guard<std::mutex> lock(output.mutex);
  output.writer.flush();
}

DroppedLines dropped_log_lines() {
  StandardOutput& output = standard_output();
  const std::lock_guard<std::mutex> lock(output.mutex);
  return output.writer.dropped();
}

}  // namespace gorsevalve
