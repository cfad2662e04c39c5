#include "tasks/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>

namespace gorsevalve {
namespace {

/// Name and zone of this process, set once before other threads start.
struct ProcessLabels {
  std::string node;
  std::string zone;
};

ProcessLabels& labels() {
  static ProcessLabels value;
  return value;
}

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

/// Time as in RFC 3339, in UTC with milliseconds.
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

}  // namespace

bool init_logging(const std::string& node, const std::string& zone, const std::string& level,
                  const std::string& path) {
  static const std::map<std::string, LogLevel> kLevels = {{"debug", LogLevel::kDebug},
                                                          {"info", LogLevel::kInfo},
                                                          {"warning", LogLevel::kWarning},
                                                          {"error", LogLevel::kError}};
  const auto found = kLevels.find(level);
  if (found == kLevels.end()) {
    return false;
  }
  labels() = {node, zone};
  const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  if (path.empty()) {
    root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr()));
  } else {
    root->addAppender(std::make_shared<log4cxx::FileAppender>(layout, path, true));
  }
  root->setLevel(to_level(found->second));
  return true;
}

void log_event(LogLevel level, const std::string& event, const nlohmann::json& fields) {
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  const log4cxx::LevelPtr native = to_level(level);
  if (!logger->isEnabledFor(native)) {
    return;
  }
  static const std::map<LogLevel, std::string> kNames = {{LogLevel::kDebug, "debug"},
                                                         {LogLevel::kInfo, "info"},
                                                         {LogLevel::kWarning, "warning"},
                                                         {LogLevel::kError, "error"}};
  nlohmann::ordered_json line = {{"time", timestamp()},
                                 {"level", kNames.at(level)},
                                 {"event", event},
                                 {"node", labels().node},
                                 {"zone", labels().zone}};
  for (const auto& [key, value] : fields.items()) {
    line[key] = value;
  }
  LOG4CXX_LOG(logger, native, line.dump());
}

}  // namespace gorsevalve
