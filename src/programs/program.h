/// What all programs share: flag values, signals and exit codes.
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
  kExitRefused = 2,
  kExitConflict = 3,
  kExitUnreachable = 4,
  kExitTimeout = 5,
  kExitFailure = 6,
};

/// Prints "program: message" to the standard error stream and gives the code.
int fail(const std::string& message, ExitCode code);

/// Ends the program with kExitUsage when the text is not an address; the message names the flag.
Endpoint require_endpoint(const std::string& flag, const std::string& text);
std::vector<Endpoint> require_endpoints(const std::string& flag,
                                        const std::vector<std::string>& texts);
/// Ends the program with kExitUsage when the value is empty.
std::string require_value(const std::string& flag, const std::string& value);

/// What a program does on signals.
struct SignalActions {
  /// First SIGTERM or SIGINT; the second one ends the loop.
  std::function<void()> on_terminate;
  /// SIGHUP; may be empty.
  std::function<void()> on_reload;
};

/// Until `handle_signals` is called, SIGHUP would end the process. To be called first in a program
/// that reloads its settings, before it reads them.
void ignore_reload_signal();

/// Runs actions on the loop when signals come. To be called once in a process.
void handle_signals(EventLoop& loop, SignalActions actions);

/// Runs `on_terminate` on the loop at the first SIGTERM or SIGINT, and ends the loop at the second.
void handle_signals(EventLoop& loop, std::function<void()> on_terminate);

}  // namespace gorsevalve
