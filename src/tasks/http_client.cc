#include "tasks/http_client.h"

namespace gorsevalve {

struct HttpClient::Internals {
  h2o_http1client_ctx_t context{};
  h2o_timeout_t timeout{};
  h2o_multithread_queue_t* queue = nullptr;
  h2o_multithread_receiver_t address_receiver{};
};

/// One request in flight. Deletes itself after the callback.
struct HttpClient::Exchange {
  HttpClientRequest request;
  Callback callback;
  std::string head;
  h2o_iovec_t part{};
  HttpClientResponse response;

  static Exchange* of(h2o_http1client_t* client) { return static_cast<Exchange*>(client->data); }

  void finish(Result result) {
    callback(std::move(result));
    delete this;
  }

  void write_head() {
    head = request.method + " " + request.path + " HTTP/1.1\r\nhost: " + to_string(request.server) +
           "\r\nconnection: close\r\n";
    if (!request.token.empty()) {
      head += "authorization: Bearer " + request.token + "\r\n";
    }
    if (request.method != "GET") {
      head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    }
    head += "\r\n" + request.body;
    part = h2o_iovec_init(head.data(), head.size());
  }

  static h2o_http1client_head_cb on_connect(h2o_http1client_t* client, const char* error,
                                            h2o_iovec_t** parts, std::size_t* count, int* is_head) {
    Exchange* exchange = of(client);
    if (error != nullptr) {
      exchange->finish(tl::unexpected(std::string(error)));
      return nullptr;
    }
    exchange->write_head();
    *parts = &exchange->part;
    *count = 1;
    *is_head = 0;
    return &on_head;
  }

  static h2o_http1client_body_cb on_head(h2o_http1client_t* client, const char* error,
                                         int /*minor_version*/, int status, h2o_iovec_t /*message*/,
                                         h2o_header_t* /*headers*/, std::size_t /*header_count*/,
                                         int /*rlen*/) {
    Exchange* exchange = of(client);
    if (error != nullptr && error != h2o_http1client_error_is_eos) {
      exchange->finish(tl::unexpected(std::string(error)));
      return nullptr;
    }
    exchange->response.status = status;
    if (error == h2o_http1client_error_is_eos) {
      exchange->finish(std::move(exchange->response));
      return nullptr;
    }
    return &on_body;
  }

  static int on_body(h2o_http1client_t* client, const char* error) {
    Exchange* exchange = of(client);
    if (error != nullptr && error != h2o_http1client_error_is_eos) {
      exchange->finish(tl::unexpected(std::string(error)));
      return -1;
    }
    exchange->response.body.append(client->sock->input->bytes, client->sock->input->size);
    h2o_buffer_consume(&client->sock->input, client->sock->input->size);
    if (error == h2o_http1client_error_is_eos) {
      exchange->finish(std::move(exchange->response));
    }
    return 0;
  }
};

HttpClient::HttpClient(EventLoop& loop, Duration timeout)
    : internals_(std::make_shared<Internals>()) {
  loop.retain(internals_);
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  h2o_timeout_init(loop.raw(), &internals_->timeout, static_cast<std::uint64_t>(milliseconds));
  internals_->queue = h2o_multithread_create_queue(loop.raw());
  h2o_multithread_register_receiver(internals_->queue, &internals_->address_receiver,
                                    h2o_hostinfo_getaddr_receiver);
  internals_->context.loop = loop.raw();
  internals_->context.io_timeout = &internals_->timeout;
  internals_->context.getaddr_receiver = &internals_->address_receiver;
}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpClientRequest request, Callback callback) {
  auto* exchange = new Exchange{std::move(request), std::move(callback), {}, {}, {}};
  const std::string address = to_string(exchange->request.server);
  const std::string host = address.substr(0, address.find(':'));
  h2o_http1client_connect(nullptr, exchange, &internals_->context,
                          h2o_iovec_init(host.data(), host.size()), exchange->request.server.port,
                          0, &Exchange::on_connect);
}

}  // namespace gorsevalve
