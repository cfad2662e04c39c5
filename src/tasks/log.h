/// Structured logs: one JSON object a line, through log4cxx. No payloads are logged. Writing never
/// waits for the reader (LogWriter), and each routine event has a limit a second.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "tasks/log_events.h"
#include "tasks/log_writer.h"

namespace gorsevalve {

/// Lines of one routine event that are written within a second at most; a later line tells how many
/// were left out.
constexpr std::uint64_t kRoutineLinesPerSecond = 200;

/// Sets up logging to the standard output, or to a file when `path` is not empty. `node` and `zone`
/// stand in every line. `level` is "debug", "info", "warning" or "error"; false for any other.
bool init_logging(const std::string& node, const std::string& zone, const std::string& level,
                  const std::string& path);

/// Writes one line: time, level, node, zone, event, and the fields.
void log_event(LogEvent event, const nlohmann::json& fields = {});

/// Writes what waits for a slow reader; to be called by the tasks now and then.
void flush_log();

/// Lines that were dropped since the start because the reader was slow.
DroppedLines dropped_log_lines();

}  // namespace gorsevalve
