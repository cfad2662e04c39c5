/// Shared by all programs: flag values, signals and exit codes.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "model/endpoint.h"
#include "tasks/event_loop.h"

namespace gorsevalve {

/// Exit codes of all programs (docs/programs.md).
enum ExitCode : int {
  kExitOk = 0,
  kExitUsage = 1,
  kExitRejected = 2,
  kExitConflict = 3,
  kExitUnreachable = 4,
  kExitTimeout = 5,
  kExitFailure = 6,
};

/// Prints "program: message" to standard error and returns the code.
int fail(const std::string& message, ExitCode code);

/// Exits with kExitUsage if the text is not an address; the message names the flag.
Endpoint require_endpoint(const std::string& flag, const std::string& text);
std::vector<Endpoint> require_endpoints(const std::string& flag,
                                        const std::vector<std::string>& texts);
/// Exits with kExitUsage if the value is empty.
std::string require_value(const std::string& flag, const std::string& value);

/// Actions of a program on signals.
struct SignalActions {
  /// Called on the first SIGTERM or SIGINT; the second one stops the loop.
  std::function<void()> on_terminate;
  /// Called on SIGHUP; may be empty.
  std::function<void()> on_reload;
};

/// Ignores SIGHUP, which would terminate the process before `handle_signals` is called. Call this
/// before reading settings that can be reloaded.
void ignore_reload_signal();

/// Runs the actions on the loop when signals arrive. Call at most once per process.
void handle_signals(EventLoop& loop, SignalActions actions);

/// Runs `on_terminate` on the loop at the first SIGTERM or SIGINT; stops the loop at the second.
void handle_signals(EventLoop& loop, std::function<void()> on_terminate);

}  // namespace gorsevalve
