/// Administration API of a control replica over HTTP and JSON, on its own thread and event loop.
/// docs/api.md describes paths and bodies.
#pragma once

#include <memory>
#include <string>
#include <thread>
#include <tl/expected.hpp>
#include <vector>

#include "tasks/control_task.h"
#include "tasks/http_server.h"

namespace gorsevalve {

/// Bearer tokens by permission. Tokens in `submit` may also read.
struct ApiTokens {
  std::vector<std::string> read;
  std::vector<std::string> submit;
};

/// Reads a file of lines "read TOKEN" and "submit TOKEN". Rejects a file that other users can read.
/// The error names file and line.
tl::expected<ApiTokens, std::string> read_token_file(const std::string& path);

/// True if the Authorization header contains one of the tokens. Compares in constant time.
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
  /// Sends a response from the main loop's thread.
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
