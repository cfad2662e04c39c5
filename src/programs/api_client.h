/// The operator's side of the administration API: finds the replica that leads. Takes servers,
/// token and patience from the flags --server, --token_file and --timeout_s.
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
  /// Ends the program with kExitUsage when a flag is missing or malformed.
  ApiClient();

  /// The leader's response; nothing when none answered in time.
  std::optional<HttpClientResponse> request(const std::string& method, const std::string& path,
                                            const std::string& body = {});

  /// Waits before the same is asked again.
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
