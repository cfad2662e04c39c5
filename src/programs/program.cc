#include "programs/program.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace gorsevalve {
namespace {

constexpr Duration kSignalPoll = std::chrono::milliseconds(20);

/// Signals received, set by the handler and read by the loop.
volatile std::sig_atomic_t signals_received = 0;

void on_signal(int /*signal*/) { signals_received = signals_received + 1; }

}  // namespace

int fail(const std::string& message, ExitCode code) {
  std::fprintf(stderr, "%s: %s\n", program_invocation_short_name, message.c_str());
  return code;
}

Endpoint require_endpoint(const std::string& flag, const std::string& text) {
  const auto endpoint = parse_endpoint(text);
  if (!endpoint) {
    std::exit(
        fail("--" + flag + "=" + text + ": must be an address such as 10.0.0.1:5683", kExitUsage));
  }
  return *endpoint;
}

std::vector<Endpoint> require_endpoints(const std::string& flag,
                                        const std::vector<std::string>& texts) {
  std::vector<Endpoint> endpoints;
  endpoints.reserve(texts.size());
  for (const auto& text : texts) {
    endpoints.push_back(require_endpoint(flag, text));
  }
  return endpoints;
}

std::string require_value(const std::string& flag, const std::string& value) {
  if (value.empty()) {
    std::exit(fail("--" + flag + " is needed", kExitUsage));
  }
  return value;
}

void handle_signals(EventLoop& loop, std::function<void()> on_terminate) {
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  std::signal(SIGPIPE, SIG_IGN);
  auto handled = std::make_shared<int>(0);
  loop.every(kSignalPoll, [&loop, handled, action = std::move(on_terminate)] {
    if (*handled == 0 && signals_received > 0) {
      *handled = 1;
      action();
    } else if (*handled == 1 && signals_received > 1) {
      loop.stop();
    }
  });
}

}  // namespace gorsevalve
