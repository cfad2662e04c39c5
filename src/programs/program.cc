#include "programs/program.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

namespace gorsevalve {
namespace {

/// Write end of the self-pipe from the signal handler to the event loop.
volatile std::sig_atomic_t signal_pipe = -1;

void on_signal(int signal) {
  const int saved_errno = errno;
  const char byte = static_cast<char>(signal);
  const ssize_t written = ::write(signal_pipe, &byte, 1);
  static_cast<void>(written);
  errno = saved_errno;
}

/// Reads signal numbers from the self-pipe on the loop and runs their actions.
class SignalReader {
 public:
  SignalReader(EventLoop& loop, int descriptor, SignalActions actions)
      : loop_(loop),
        descriptor_(descriptor),
        actions_(std::move(actions)),
        socket_(h2o_evloop_socket_create(loop.raw(), descriptor, H2O_SOCKET_FLAG_DONT_READ)) {
    socket_->data = this;
    h2o_socket_read_start(socket_, [](h2o_socket_t* socket, const char* /*error*/) {
      static_cast<SignalReader*>(socket->data)->on_readable();
    });
  }

 private:
  void on_readable() {
    char signal = 0;
    while (::read(descriptor_, &signal, 1) == 1) {
      if (signal == SIGHUP) {
        if (actions_.on_reload) {
          actions_.on_reload();
        }
      } else if (std::exchange(terminating_, true)) {
        loop_.stop();
      } else {
        actions_.on_terminate();
      }
    }
  }

  EventLoop& loop_;
  int descriptor_;
  SignalActions actions_;
  h2o_socket_t* socket_;
  bool terminating_ = false;
};

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
    std::exit(fail("--" + flag + " is required", kExitUsage));
  }
  return value;
}

void ignore_reload_signal() { std::signal(SIGHUP, SIG_IGN); }

void handle_signals(EventLoop& loop, SignalActions actions) {
  int pipe_ends[2] = {-1, -1};
  if (::pipe2(pipe_ends, O_NONBLOCK | O_CLOEXEC) != 0) {
    std::exit(fail("cannot create the pipe for signals", kExitFailure));
  }
  signal_pipe = pipe_ends[1];
  // Signal handlers need it for the lifetime of the process.
  static std::unique_ptr<SignalReader> reader;
  reader = std::make_unique<SignalReader>(loop, pipe_ends[0], std::move(actions));
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  std::signal(SIGHUP, on_signal);
  std::signal(SIGPIPE, SIG_IGN);
}

void handle_signals(EventLoop& loop, std::function<void()> on_terminate) {
  handle_signals(loop, SignalActions{std::move(on_terminate), {}});
}

}  // namespace gorsevalve
