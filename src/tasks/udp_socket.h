/// A UDP socket on an event loop. h2o's stream sockets carry no datagrams, so h2o gives readiness
/// only and the datagrams move by recvmmsg and sendmmsg.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "model/bytes.h"
#include "model/endpoint.h"
#include "tasks/event_loop.h"

namespace gorsevalve {

/// Largest datagram that is received, in octets.
constexpr std::size_t kMaxDatagram = 4096;

class UdpSocket {
 public:
  using Receiver = std::function<void(ByteView datagram, const Endpoint& from)>;

  /// Binds to an address. The error names the address.
  static tl::expected<std::unique_ptr<UdpSocket>, std::string> open(EventLoop& loop,
                                                                    const Endpoint& address);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// `receiver` is called for each datagram; `after_batch` after the last one that was waiting.
  void start(Receiver receiver, std::function<void()> after_batch = {});

  /// Queues a datagram made of two parts. It leaves with the next `flush`, or when the queue is
  /// full. Datagrams that the kernel does not take are dropped, as a network would.
  void send(const Endpoint& to, ByteView head, ByteView body = {});
  /// The same, for a datagram that the caller writes in place before anything else is sent; empty
  /// when it would be too large.
  std::span<std::uint8_t> reserve(const Endpoint& to, std::size_t size);
  void flush();

 private:
  static constexpr std::size_t kBatchSize = 32;
  struct Buffers;

  UdpSocket(EventLoop& loop, int descriptor);
  void on_readable();

  int descriptor_;
  h2o_socket_t* socket_;
  Receiver receiver_;
  std::function<void()> after_batch_;
  std::unique_ptr<Buffers> buffers_;
};

}  // namespace gorsevalve
