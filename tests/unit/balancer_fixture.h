/// A single balancer core that records everything it sends, for unit tests.
#pragma once

#include <vector>

#include "core/balancer/balancer.h"

namespace gorsevalve {

constexpr Endpoint kSelf{0x0A00C901, 6000};
constexpr Endpoint kFirstService{0x0A000101, 5683};
constexpr Endpoint kSecondService{0x0A000102, 5683};
constexpr Endpoint kFirstTarget{0x0A000A01, 5683};
constexpr Endpoint kSecondTarget{0x0A000B01, 5683};
constexpr Endpoint kClient{0x0A010001, 40000};
constexpr std::uint64_t kIncarnation = 42;

struct SentToClient {
  FlowKey flow;
  Bytes message;
};

struct SentToTarget {
  Endpoint target;
  ProxyHeader header;
  Bytes message;
};

class BalancerOutputRecorder : public BalancerOutput {
 public:
  void send_to_client(const FlowKey& flow, ByteView message) override {
    to_client.push_back({flow, Bytes(message.begin(), message.end())});
  }
  void send_to_target(const Endpoint& target, const ProxyHeader& header,
                      ByteView message) override {
    to_target.push_back({target, header, Bytes(message.begin(), message.end())});
  }
  void relay(const Endpoint& /*peer*/, const ProxyHeader& /*header*/,
             ByteView /*payload*/) override {
    ++relayed;
  }
  void send_peer(const Endpoint& /*peer*/, const PeerMessage& message) override {
    to_peer.push_back(message);
  }

  std::vector<SentToClient> to_client;
  std::vector<SentToTarget> to_target;
  std::vector<PeerMessage> to_peer;
  int relayed = 0;
};

inline Service make_test_service(const Endpoint& address, const Endpoint& target) {
  Service service;
  service.name = to_string(address);
  service.address = address;
  Target one;
  one.name = to_string(target);
  one.address = target;
  one.zone = std::string("zone-a");
  service.targets.push_back(one);
  return service;
}

/// Two services with one target each, and this balancer as the only member.
inline FleetState make_test_fleet() {
  FleetState fleet;
  fleet.revision = 2;
  fleet.settings_revision = 1;
  fleet.members_revision = 2;
  fleet.members_epoch = 1;
  fleet.partitions = 16;
  fleet.settings.services = {make_test_service(kFirstService, kFirstTarget),
                             make_test_service(kSecondService, kSecondTarget)};
  fleet.members = {{"self", "z", kSelf, kIncarnation, MemberState::kActive}};
  return fleet;
}

class BalancerFixture {
 public:
  BalancerFixture() {
    balancer.on_fleet(fleet, now);
    balancer.on_lease(now + std::chrono::hours(1));
  }

  /// Delivers a request from a client, as received from the fabric.
  void request(const Endpoint& service, const CoapMessage& message,
               const Endpoint& client = kClient) {
    datagram({{client, service}, {}, {}, {}}, encode_coap(message));
  }

  /// Delivers a target's response to a message that was sent to it.
  void respond(const SentToTarget& sent, const CoapMessage& message) {
    ProxyHeader header;
    header.flow = sent.header.flow;
    header.request_id = sent.header.request_id;
    header.target = sent.target;
    datagram(header, encode_coap(message));
  }

  void datagram(const ProxyHeader& header, const Bytes& payload) {
    balancer.on_datagram(encode_proxy_datagram(header, payload), now);
  }

  void apply_fleet(const FleetState& next) {
    fleet = next;
    ++fleet.revision;
    balancer.on_fleet(fleet, now);
  }

  /// Advances the time, with a tick at each interval.
  void advance_time(Duration time) {
    const Instant end = now + time;
    while (now < end) {
      now += Balancer::kTickInterval;
      balancer.on_tick(now);
    }
  }

  Instant now{std::chrono::seconds(1000)};
  FleetState fleet = make_test_fleet();
  BalancerOutputRecorder output;
  Balancer balancer{{fleet.members[0], {}}, output};
};

inline CoapMessage make_request(std::uint8_t code, std::uint16_t message_id, std::uint8_t token) {
  CoapMessage message;
  message.code = code;
  message.message_id = message_id;
  message.token.length = 1;
  message.token.bytes[0] = token;
  message.path = {"p"};
  return message;
}

inline CoapMessage make_response(const CoapMessage& request, const std::string& text) {
  CoapMessage message;
  message.type = CoapType::kAcknowledgement;
  message.code = coap_code::kContent;
  message.message_id = request.message_id;
  message.token = request.token;
  message.payload.assign(text.begin(), text.end());
  return message;
}

}  // namespace gorsevalve
