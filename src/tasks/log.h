/// Structured logs: one JSON object per line, written with log4cxx. Payloads are not logged.
/// Writing never blocks on the reader (LogWriter), and routine events are rate-limited.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "tasks/log_events.h"
#include "tasks/log_writer.h"

namespace gorsevalve {

/// Limit of lines per second and routine event; a later line reports how many were suppressed.
constexpr std::uint64_t kRoutineLinesPerSecond = 200;

/// Sets up logging to standard output, or to the file `path` if it is not empty. Every line
/// contains `node` and `zone`. `level` is "debug", "info", "warning" or "error"; returns false for
/// any other.
bool init_logging(const std::string& node, const std::string& zone, const std::string& level,
                  const std::string& path);

/// Writes one line with time, level, node, zone, event, and the fields.
void log_event(LogEvent event, const nlohmann::json& fields = {});

/// Writes queued lines; to be called regularly.
void flush_log();

/// Lines dropped since the start because the reader was too slow.
DroppedLines dropped_log_lines();

}  // namespace gorsevalve
