/// Sends single HTTP requests with h2o's client.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "model/endpoint.h"
#include "model/time.h"
#include "tasks/event_loop.h"

namespace gorsevalve {

struct HttpClientRequest {
  std::string method = "GET";
  Endpoint server;
  /// Path with the query.
  std::string path;
  std::string body;
  /// Bearer token; not sent when empty.
  std::string token;
};

struct HttpClientResponse {
  int status = 0;
  std::string body;
};

class HttpClient {
 public:
  using Result = tl::expected<HttpClientResponse, std::string>;
  using Callback = std::function<void(Result)>;

  /// `timeout` limits each wait for the server.
  HttpClient(EventLoop& loop, Duration timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and calls back once, with the response or an error message.
  void send(HttpClientRequest request, Callback callback);

 private:
  struct Exchange;
  struct Internals;
  /// Also retained by the loop, whose list of timeouts refers to it.
  std::shared_ptr<Internals> internals_;
};

}  // namespace gorsevalve
