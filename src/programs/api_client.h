/// Client of the administration API for operators; finds the leader. Reads the flags --server,
/// --token_file and --timeout_s.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/endpoint.h"
#include "tasks/event_loop.h"
#include "tasks/http_client.h"

namespace gorsevalve {

class ApiClient {
 public:
  /// Exits with kExitUsage if a flag is missing or malformed.
  ApiClient();

  /// Returns the leader's response, or nothing if no leader responded within --timeout_s.
  std::optional<HttpClientResponse> request(const std::string& method, const std::string& path,
                                            const std::string& body = {});

  /// Runs the loop for the retry interval.
  void wait_before_retry();

 private:
  std::optional<HttpClientResponse> send(const Endpoint& server, const std::string& method,
                                         const std::string& path, const std::string& body);
  void run_for(Duration duration);

  EventLoop loop_;
  HttpClient client_;
  std::vector<Endpoint> servers_;
  std::string token_;
};

}  // namespace gorsevalve
