/// A UDP socket on an event loop. The stream sockets of h2o carry no datagrams, so h2o only reports
/// readiness; datagrams are read with recvmmsg and written with sendmmsg.
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

/// Largest datagram in bytes; longer ones are dropped.
constexpr std::size_t kMaxDatagram = 4096;

class UdpSocket {
 public:
  using Receiver = std::function<void(ByteView datagram, const Endpoint& from)>;

  /// Binds to an address. Errors name the address.
  static tl::expected<std::unique_ptr<UdpSocket>, std::string> open(EventLoop& loop,
                                                                    const Endpoint& address);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// Calls `receiver` for each datagram, and `after_batch` after the last one that was ready.
  void start(Receiver receiver, std::function<void()> after_batch = {});

  /// Queues a datagram that consists of two parts. It is sent by the next `flush`, or when the
  /// queue is full. Datagrams that the kernel rejects are dropped.
  void send(const Endpoint& to, ByteView head, ByteView body = {});
  /// Queues a datagram and returns its buffer, which the caller must fill before the next call.
  /// Empty if the size exceeds the limit.
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
