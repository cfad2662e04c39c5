/// Single HTTP requests by h2o's client.
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
  /// Path with query.
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

  /// `timeout` bounds each wait for the server.
  HttpClient(EventLoop& loop, Duration timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and calls back once, with the response or with what went wrong.
  void send(HttpClientRequest request, Callback callback);

 private:
  struct Exchange;
  struct Internals;
  /// Kept by the loop, too: its timeout stands in the loop's list between those of others.
  std::shared_ptr<Internals> internals_;
};

}  // namespace gorsevalve
