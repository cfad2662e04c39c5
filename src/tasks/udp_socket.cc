#include "tasks/udp_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "tasks/socket_address.h"

namespace gorsevalve {
namespace {

constexpr int kSocketBufferSize = 4 << 20;
/// Limit of batches per readiness event, so that other events are not starved.
constexpr int kBatchesPerTurn = 8;

}  // namespace

struct UdpSocket::Buffers {
  std::array<std::array<std::uint8_t, kMaxDatagram>, kBatchSize> in{};
  std::array<iovec, kBatchSize> in_parts{};
  std::array<sockaddr_in, kBatchSize> in_addresses{};
  std::array<mmsghdr, kBatchSize> in_headers{};

  std::array<std::array<std::uint8_t, kMaxDatagram>, kBatchSize> out{};
  std::array<iovec, kBatchSize> out_parts{};
  std::array<sockaddr_in, kBatchSize> out_addresses{};
  std::array<mmsghdr, kBatchSize> out_headers{};
  std::size_t out_count = 0;
};

tl::expected<std::unique_ptr<UdpSocket>, std::string> UdpSocket::open(EventLoop& loop,
                                                                      const Endpoint& address) {
  const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return tl::unexpected(std::string("socket: ") + std::strerror(errno));
  }
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kSocketBufferSize, sizeof(kSocketBufferSize));
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kSocketBufferSize, sizeof(kSocketBufferSize));
  const sockaddr_in raw = to_sockaddr(address);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0) {
    const std::string message = "bind " + to_string(address) + ": " + std::strerror(errno);
    ::close(descriptor);
    return tl::unexpected(message);
  }
  return std::unique_ptr<UdpSocket>(new UdpSocket(loop, descriptor));
}

UdpSocket::UdpSocket(EventLoop& loop, int descriptor)
    : descriptor_(descriptor),
      socket_(h2o_evloop_socket_create(loop.raw(), descriptor, H2O_SOCKET_FLAG_DONT_READ)),
      buffers_(std::make_unique<Buffers>()) {
  socket_->data = this;
}

UdpSocket::~UdpSocket() {
  h2o_socket_read_stop(socket_);
  h2o_socket_close(socket_);
}

void UdpSocket::start(Receiver receiver, std::function<void()> after_batch) {
  receiver_ = std::move(receiver);
  after_batch_ = std::move(after_batch);
  h2o_socket_read_start(socket_, [](h2o_socket_t* socket, const char* /*error*/) {
    static_cast<UdpSocket*>(socket->data)->on_readable();
  });
}

void UdpSocket::on_readable() {
  Buffers& buffers = *buffers_;
  for (int batch = 0; batch < kBatchesPerTurn; ++batch) {
    for (std::size_t i = 0; i < kBatchSize; ++i) {
      buffers.in_parts[i] = {buffers.in[i].data(), kMaxDatagram};
      buffers.in_headers[i] = {};
      buffers.in_headers[i].msg_hdr.msg_iov = &buffers.in_parts[i];
      buffers.in_headers[i].msg_hdr.msg_iovlen = 1;
      buffers.in_headers[i].msg_hdr.msg_name = &buffers.in_addresses[i];
      buffers.in_headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count = ::recvmmsg(descriptor_, buffers.in_headers.data(), kBatchSize, 0, nullptr);
    for (int i = 0; i < count; ++i) {
      const auto index = static_cast<std::size_t>(i);
      const bool is_truncated = (buffers.in_headers[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
      if (!is_truncated) {
        receiver_(ByteView(buffers.in[index].data(), buffers.in_headers[index].msg_len),
                  from_sockaddr(buffers.in_addresses[index]));
      }
    }
    if (count < static_cast<int>(kBatchSize)) {
      break;
    }
  }
  if (after_batch_) {
    after_batch_();
  }
  flush();
}

void UdpSocket::send(const Endpoint& to, ByteView head, ByteView body) {
  const std::span<std::uint8_t> out = reserve(to, head.size() + body.size());
  if (!out.empty()) {
    std::copy(head.begin(), head.end(), out.begin());
    std::copy(body.begin(), body.end(), out.begin() + static_cast<std::ptrdiff_t>(head.size()));
  }
}

std::span<std::uint8_t> UdpSocket::reserve(const Endpoint& to, std::size_t size) {
  Buffers& buffers = *buffers_;
  if (size > kMaxDatagram) {
    return {};
  }
  if (buffers.out_count == kBatchSize) {
    flush();
  }
  const std::size_t i = buffers.out_count++;
  buffers.out_parts[i] = {buffers.out[i].data(), size};
  buffers.out_addresses[i] = to_sockaddr(to);
  buffers.out_headers[i] = {};
  buffers.out_headers[i].msg_hdr.msg_iov = &buffers.out_parts[i];
  buffers.out_headers[i].msg_hdr.msg_iovlen = 1;
  buffers.out_headers[i].msg_hdr.msg_name = &buffers.out_addresses[i];
  buffers.out_headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  return {buffers.out[i].data(), size};
}

void UdpSocket::flush() {
  Buffers& buffers = *buffers_;
  std::size_t sent = 0;
  while (sent < buffers.out_count) {
    const int count = ::sendmmsg(descriptor_, &buffers.out_headers[sent],
                                 static_cast<unsigned>(buffers.out_count - sent), 0);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (errno != EINTR) {
      // The kernel rejected the first datagram, for example because its buffer is full: drop it and
      // continue.
      ++sent;
    }
  }
  buffers.out_count = 0;
}

}  // namespace gorsevalve
