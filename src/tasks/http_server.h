/// HTTP/1 and HTTP/2 server on an event loop. Responses may be sent asynchronously.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "model/endpoint.h"
#include "tasks/event_loop.h"

namespace gorsevalve {

struct HttpRequest {
  std::string method;
  /// Path without the query, decoded.
  std::string path;
  /// Path with the query as received, for redirects.
  std::string raw_path;
  std::string query;
  std::string body;
  /// Value of the Authorization header, or "".
  std::string authorization;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  /// Location header; not sent when empty.
  std::string location{};
};

class HttpServer {
 public:
  /// Identifies a request until its response is sent.
  using RequestNumber = std::uint64_t;
  using Handler = std::function<void(RequestNumber, const HttpRequest&)>;

  /// Largest request body in bytes.
  static constexpr std::size_t kMaxBodySize = 5U << 20U;

  /// Listens at an address. Errors name the address.
  static tl::expected<std::unique_ptr<HttpServer>, std::string> open(EventLoop& loop,
                                                                     const Endpoint& address,
                                                                     Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Sends the response to a request. Call it once per request, on the thread of the loop. Does
  /// nothing if the client has disconnected.
  void respond(RequestNumber number, const HttpResponse& response);

 private:
  struct Internals;
  explicit HttpServer(Handler handler);
  int on_request(h2o_req_t* request);

  Handler handler_;
  /// Also retained by the loop.
  std::shared_ptr<Internals> internals_;
  RequestNumber last_number_ = 0;
};

}  // namespace gorsevalve
