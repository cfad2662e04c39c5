#include "bench/bench_fleet.h"

#include <algorithm>

#include "codec/proxy_header.h"

namespace gorsevalve {
namespace {

constexpr std::uint16_t kPort = 5683;
constexpr std::uint32_t kServiceBase = 0x0A010000;
constexpr std::uint32_t kTargetBase = 0x0A100000;
constexpr std::uint32_t kMemberBase = 0x0AC90000;
constexpr std::uint32_t kClientBase = 0x0B000000;

FlowKey make_flow_key(std::uint32_t number) {
  return {{kClientBase + number, 40000}, {kServiceBase, kPort}};
}

CoapMessage make_message(std::uint8_t code, CoapType type) {
  CoapMessage message;
  message.type = type;
  message.code = code;
  message.message_id = 1;
  message.token.length = 4;
  if (code == coap_code::kGet) {
    message.path = {"lookup"};
  }
  message.payload = Bytes(32, 'x');
  return message;
}

}  // namespace

FleetState make_bench_fleet(std::uint32_t members, std::uint32_t targets, std::uint32_t services,
                            std::uint32_t partitions) {
  FleetState fleet;
  fleet.revision = 2;
  fleet.settings_revision = 1;
  fleet.members_revision = 2;
  fleet.members_epoch = 1;
  fleet.partitions = partitions;
  for (std::uint32_t i = 0; i < members; ++i) {
    fleet.members.push_back({"member-" + std::to_string(i),
                             "zone-" + std::to_string(i % 8),
                             {kMemberBase + i, 6000},
                             i + 1,
                             MemberState::kActive});
  }
  fleet.previous_members = fleet.members;
  std::uint32_t number = 0;
  for (std::uint32_t s = 0; s < services; ++s) {
    Service service;
    service.name = "service-" + std::to_string(s);
    service.address = {kServiceBase + s, kPort};
    const std::uint32_t count = targets / services + (s < targets % services ? 1 : 0);
    for (std::uint32_t t = 0; t < count; ++t) {
      Target target;
      target.name = "target-" + std::to_string(number);
      target.address = {kTargetBase + number++, kPort};
      target.zone = "zone-" + std::to_string(t % 8);
      target.max_connections = 1000000;
      service.targets.push_back(target);
    }
    fleet.settings.services.push_back(service);
  }
  return fleet;
}

BenchBalancer::BenchBalancer(const FleetState& fleet)
    : fleet_(fleet),
      balancer_({fleet_.members[0], {}}, static_cast<BalancerOutput&>(*this)),
      request_(encode_coap(make_message(coap_code::kGet, CoapType::kConfirmable))),
      response_(encode_coap(make_message(coap_code::kContent, CoapType::kAcknowledgement))) {
  balancer_.on_fleet(fleet_, now_);
  balancer_.on_lease(now_ + std::chrono::hours(1));
}

void BenchBalancer::send_to_target(const Endpoint& target, const ProxyHeader& header,
                                   ByteView /*message*/) {
  last_target_ = target;
  last_header_ = header;
}

void BenchBalancer::open_flows(std::uint32_t count) {
  constexpr std::uint32_t kPerTick = 100;
  for (; opened_ < count; ++opened_) {
    exchange(opened_);
    if (opened_ % kPerTick == 0) {
      now_ += Balancer::kTickInterval;
      balancer_.on_tick(now_);
    }
  }
}

void BenchBalancer::exchange(std::uint32_t flow) {
  const auto send = [&](const ProxyHeader& header, const Bytes& message) {
    const std::size_t header_size = encode_proxy_header(header, buffer_.data());
    std::copy(message.begin(), message.end(),
              buffer_.begin() + static_cast<std::ptrdiff_t>(header_size));
    balancer_.on_datagram(ByteView(buffer_.data(), header_size + message.size()), now_);
  };
  ProxyHeader request;
  request.flow = make_flow_key(flow);
  send(request, request_);
  ProxyHeader response = last_header_;
  response.target = last_target_;
  send(response, response_);
}

struct BenchPair::Node : BalancerOutput {
  Node(BenchPair& owner, const Member& member)
      : pair(owner), self(member), balancer({member, {}}, *this) {}

  void send_to_client(const FlowKey& /*flow*/, ByteView /*message*/) override {}
  void send_to_target(const Endpoint& target, const ProxyHeader& header,
                      ByteView /*message*/) override {
    last_target = target;
    last_header = header;
  }
  void relay(const Endpoint& /*peer*/, const ProxyHeader& /*header*/,
             ByteView /*payload*/) override {}
  void send_peer(const Endpoint& peer, const PeerMessage& message) override {
    pair.queue_.push_back({self.address, peer, message});
    ++pair.messages_;
    pair.message_bytes_ +=
        std::visit([](const auto& body) { return encode_archive(body).size(); }, message);
  }

  BenchPair& pair;
  Member self;
  Balancer balancer;
  Endpoint last_target;
  ProxyHeader last_header;
};

BenchPair::BenchPair(std::uint32_t flows) : fleet_(make_bench_fleet(1, 15)) {
  const FleetState two = make_bench_fleet(2, 15);
  first_ = std::make_unique<Node>(*this, two.members[0]);
  second_ = std::make_unique<Node>(*this, two.members[1]);
  for (Node* node : {first_.get(), second_.get()}) {
    node->balancer.on_lease(now_ + std::chrono::hours(1));
    node->balancer.on_fleet(fleet_, now_);
  }
  const Bytes request = encode_coap(make_message(coap_code::kGet, CoapType::kConfirmable));
  const Bytes response = encode_coap(make_message(coap_code::kContent, CoapType::kAcknowledgement));
  for (std::uint32_t i = 0; i < flows; ++i) {
    first_->balancer.on_datagram(encode_proxy_datagram({make_flow_key(i), {}, {}, {}}, request),
                                 now_);
    ProxyHeader header = first_->last_header;
    header.target = first_->last_target;
    first_->balancer.on_datagram(encode_proxy_datagram(header, response), now_);
  }
}

BenchPair::~BenchPair() = default;

std::size_t BenchPair::flows_at_second() const { return second_->balancer.flow_count(); }

void BenchPair::hand_over() {
  fleet_.previous_members = fleet_.members;
  fleet_.members = {first_->self, second_->self};
  fleet_.members[0].state = MemberState::kLeaving;
  fleet_.members_revision = ++fleet_.revision;
  ++fleet_.members_epoch;
  first_->balancer.on_fleet(fleet_, now_);
  second_->balancer.on_fleet(fleet_, now_);
  deliver_all();
}

void BenchPair::deliver_all() {
  while (!queue_.empty()) {
    const QueuedMessage next = std::move(queue_.front());
    queue_.pop_front();
    Node& to = next.to == first_->self.address ? *first_ : *second_;
    to.balancer.on_peer_message(next.from, next.message, now_);
  }
}

}  // namespace gorsevalve
