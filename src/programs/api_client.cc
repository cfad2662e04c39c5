#include "programs/api_client.h"

#include <absl/flags/flag.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

#include "programs/program.h"

ABSL_FLAG(std::vector<std::string>, server, {}, "administration addresses, IP:port,...");
ABSL_FLAG(std::string, token_file, "", "file whose first line is the API token");
ABSL_FLAG(std::int32_t, timeout_s, 30, "time limit for requests and for --wait, in seconds");

namespace gorsevalve {
namespace {

using nlohmann::json;

constexpr int kStatusNotLeader = 421;
constexpr int kStatusPending = 202;

bool is_from_leader(const std::string& path, const HttpClientResponse& response) {
  if (path != "/v1/status") {
    return true;
  }
  const json body = json::parse(response.body, nullptr, false);
  return body.is_object() && body.value("is_leader", false);
}

}  // namespace

ApiClient::ApiClient() : client_(loop_, std::chrono::seconds(6)) {
  servers_ = require_endpoints("server", absl::GetFlag(FLAGS_server));
  if (servers_.empty()) {
    std::exit(fail("--server is required", kExitUsage));
  }
  std::ifstream file(require_value("token_file", absl::GetFlag(FLAGS_token_file)));
  std::string line;
  std::getline(file, line);
  const std::size_t space = line.find(' ');
  token_ = space == std::string::npos ? line : line.substr(space + 1);
  if (token_.empty()) {
    std::exit(fail("--token_file: the first line contains no token", kExitUsage));
  }
}

std::optional<HttpClientResponse> ApiClient::request(const std::string& method,
                                                     const std::string& path,
                                                     const std::string& body) {
  const Instant deadline = monotonic_now() + std::chrono::seconds(absl::GetFlag(FLAGS_timeout_s));
  do {
    for (const auto& server : servers_) {
      auto response = send(server, method, path, body);
      const bool is_final = response && response->status != kStatusNotLeader &&
                            response->status != kStatusPending && is_from_leader(path, *response);
      if (is_final) {
        return response;
      }
    }
    wait_before_retry();
  } while (monotonic_now() < deadline);
  return std::nullopt;
}

void ApiClient::wait_before_retry() { run_for(std::chrono::milliseconds(200)); }

std::optional<HttpClientResponse> ApiClient::send(const Endpoint& server, const std::string& method,
                                                  const std::string& path,
                                                  const std::string& body) {
  std::optional<HttpClient::Result> result;
  client_.send({method, server, path, body, token_},
               [&](HttpClient::Result received) { result = std::move(received); });
  while (!result) {
    loop_.run_once(std::chrono::milliseconds(50));
  }
  return *result ? std::optional(**result) : std::nullopt;
}

void ApiClient::run_for(Duration duration) {
  const Instant end = monotonic_now() + duration;
  while (monotonic_now() < end) {
    loop_.run_once(std::chrono::milliseconds(20));
  }
}

}  // namespace gorsevalve
