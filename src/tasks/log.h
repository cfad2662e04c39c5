/// Structured logs: one JSON object a line, through log4cxx. No payloads are logged.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace gorsevalve {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up logging to the standard error stream, or to a file when `path` is not empty. `node` and
/// `zone` stand in every line. `level` is "debug", "info", "warning" or "error"; false for any
/// other.
bool init_logging(const std::string& node, const std::string& zone, const std::string& level,
                  const std::string& path);

/// Writes one line: time, level, node, zone, event, and the fields.
void log_event(LogLevel level, const std::string& event, const nlohmann::json& fields = {});

}  // namespace gorsevalve
