#include "tasks/http_server.h"

#include <utility>

#include "tasks/listener.h"

namespace gorsevalve {
namespace {

/// Share of the file descriptors for connections of clients. A replica has many more clients than
/// peers.
constexpr double kDescriptorShare = 0.55;

std::string to_string(const h2o_iovec_t& text) { return {text.base, text.len}; }

/// Allocated in the memory pool of a request; removes the request from the pending ones when the
/// pool is freed.
struct RequestTracker {
  std::map<HttpServer::RequestNumber, h2o_req_t*>* pending;
  HttpServer::RequestNumber number;
};

void on_request_disposed(void* raw) {
  auto* tracker = static_cast<RequestTracker*>(raw);
  tracker->pending->erase(tracker->number);
}

}  // namespace

struct HttpServer::Internals {
  /// h2o handler with a pointer to the server; nullptr after the server was destroyed.
  struct Handler {
    h2o_handler_t base;
    HttpServer* server;
  };
  Handler* handler = nullptr;
  /// Requests without a response.
  std::map<RequestNumber, h2o_req_t*> pending;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  std::unique_ptr<Listener> listener;
};

HttpServer::HttpServer(Handler handler)
    : handler_(std::move(handler)), internals_(std::make_shared<Internals>()) {}

tl::expected<std::unique_ptr<HttpServer>, std::string> HttpServer::open(EventLoop& loop,
                                                                        const Endpoint& address,
                                                                        Handler handler) {
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler)));
  Internals& internals = *server->internals_;
  loop.retain(server->internals_);
  h2o_config_init(&internals.config);
  internals.config.max_request_entity_size = kMaxBodySize;
  h2o_hostconf_t* host =
      h2o_config_register_host(&internals.config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  auto* handler_slot =
      reinterpret_cast<Internals::Handler*>(h2o_create_handler(path, sizeof(Internals::Handler)));
  internals.handler = handler_slot;
  handler_slot->server = server.get();
  handler_slot->base.on_req = [](h2o_handler_t* self, h2o_req_t* request) {
    HttpServer* found = reinterpret_cast<Internals::Handler*>(self)->server;
    // -1 makes h2o respond with 404.
    return found == nullptr ? -1 : found->on_request(request);
  };
  h2o_context_init(&internals.context, loop.raw(), &internals.config);
  internals.accept.ctx = &internals.context;
  internals.accept.hosts = internals.config.hosts;
  auto listener =
      Listener::open(loop, address, max_connections_for_share(kDescriptorShare),
                     [&internals](h2o_socket_t* socket) { h2o_accept(&internals.accept, socket); });
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  internals.listener = std::move(*listener);
  return server;
}

// The h2o context cannot be disposed while connections exist, and the loop's list of timeouts
// refers to it. The loop keeps it alive.
HttpServer::~HttpServer() {
  internals_->listener.reset();
  if (internals_->handler != nullptr) {
    internals_->handler->server = nullptr;
  }
}

int HttpServer::on_request(h2o_req_t* request) {
  HttpRequest copy;
  copy.method = to_string(request->method);
  copy.path = to_string(request->path_normalized);
  copy.raw_path = to_string(request->path);
  if (request->query_at != SIZE_MAX) {
    copy.query = to_string(request->path).substr(request->query_at + 1);
  }
  copy.body = to_string(request->entity);
  const ssize_t header = h2o_find_header(&request->headers, H2O_TOKEN_AUTHORIZATION, -1);
  if (header != -1) {
    copy.authorization = to_string(request->headers.entries[header].value);
  }
  const RequestNumber number = ++last_number_;
  auto* tracker = static_cast<RequestTracker*>(
      h2o_mem_alloc_shared(&request->pool, sizeof(RequestTracker), &on_request_disposed));
  *tracker = {&internals_->pending, number};
  internals_->pending[number] = request;
  handler_(number, copy);
  return 0;
}

void HttpServer::respond(RequestNumber number, const HttpResponse& response) {
  auto& pending = internals_->pending;
  const auto found = pending.find(number);
  if (found == pending.end()) {
    return;
  }
  h2o_req_t* request = found->second;
  pending.erase(found);
  static h2o_generator_t generator = {nullptr, nullptr};
  request->res.status = response.status;
  request->res.reason = response.status < 400 ? "OK" : "Error";
  h2o_iovec_t type =
      h2o_strdup(&request->pool, response.content_type.data(), response.content_type.size());
  h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr, type.base,
                 type.len);
  if (!response.location.empty()) {
    h2o_iovec_t location =
        h2o_strdup(&request->pool, response.location.data(), response.location.size());
    h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_LOCATION, nullptr,
                   location.base, location.len);
  }
  h2o_iovec_t body = h2o_strdup(&request->pool, response.body.data(), response.body.size());
  request->res.content_length = body.len;
  h2o_start_response(request, &generator);
  h2o_send(request, &body, 1, H2O_SEND_STATE_FINAL);
}

}  // namespace gorsevalve
