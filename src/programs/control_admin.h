/// The administration API of a control replica: HTTP and JSON, on a thread and loop of its own.
/// Paths and bodies are described in docs/api.md.
#pragma once

#include <memory>
#include <string>
#include <thread>
#include <tl/expected.hpp>
#include <vector>

#include "tasks/control_task.h"
#include "tasks/http_server.h"

namespace gorsevalve {

/// Who may do what: a token for reading, one for submitting (which may read too).
struct ApiTokens {
  std::vector<std::string> read;
  std::vector<std::string> submit;
};

/// Reads a token file with lines "read TOKEN" and "submit TOKEN". The error names file and line; a
/// file that others may read is refused.
tl::expected<ApiTokens, std::string> read_token_file(const std::string& path);

/// True when the Authorization header carries one of the tokens; compares in constant time.
bool is_authorized(const std::string& authorization, const std::vector<std::string>& tokens);

class ControlAdmin {
 public:
  ControlAdmin(EventLoop& main_loop, ControlTask& control, ApiTokens tokens);

  tl::expected<void, std::string> open(const Endpoint& address);
  void start();
  void stop();

 private:
  using Number = HttpServer::RequestNumber;

  void on_request(Number number, const HttpRequest& request);
  void on_submission(Number number, const HttpRequest& request);
  void on_evacuation(Number number, const HttpRequest& request);
  void on_read(Number number, const std::string& path);
  /// Answers from the main task's thread.
  void respond(Number number, int status, const std::string& body,
               const std::string& type = "application/json");

  EventLoop& main_loop_;
  ControlTask& control_;
  ApiTokens tokens_;
  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

}  // namespace gorsevalve
