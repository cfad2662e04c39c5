#include <doctest/doctest.h>

#include "balancer_fixture.h"
#include "core/balancer/timing.h"

namespace gorsevalve {
namespace {

std::optional<CoapSummary> parse(const Bytes& message) {
  CoapParser parser;
  return parser.parse(message);
}

std::string payload_of(const Bytes& message) {
  CoapParser parser;
  REQUIRE(parser.parse(message));
  return {parser.payload().begin(), parser.payload().end()};
}

}  // namespace

TEST_SUITE("balancer") {
  TEST_CASE("requests reach only targets of their own service") {
    BalancerFixture test;
    for (std::uint16_t i = 0; i < 200; ++i) {
      const Endpoint client_endpoint{kClient.address + i, 40000};
      test.request(kFirstService, make_request(coap_code::kGet, i, 1), client_endpoint);
      test.request(kSecondService, make_request(coap_code::kGet, i, 1), client_endpoint);
      test.advance_time(Balancer::kTickInterval);
      while (!test.output.to_target.empty()) {
        const auto sent = test.output.to_target.front();
        test.output.to_target.erase(test.output.to_target.begin());
        const bool first = sent.header.flow.service == kFirstService;
        CHECK(sent.target == (first ? kFirstTarget : kSecondTarget));
        test.respond(sent, make_response(make_request(coap_code::kGet, i, 1), "x"));
      }
    }
    CHECK(test.output.to_client.size() == 400);
  }

  TEST_CASE("a datagram for an unknown service is dropped") {
    BalancerFixture test;
    test.request({0x0A0001FF, 5683}, make_request(coap_code::kGet, 1, 1));
    CHECK(test.output.to_target.empty());
    CHECK(test.output.to_client.empty());
    CHECK(test.balancer.counters().datagrams_unknown_service == 1);
  }

  TEST_CASE("a target that was removed from the settings receives nothing") {
    BalancerFixture test;
    test.request(kFirstService, make_request(coap_code::kGet, 1, 1));
    FleetState next = test.fleet;
    next.settings.services[0].targets[0].address = {0x0A000A02, 5683};
    test.apply_fleet(next);
    test.output.to_target.clear();
    test.request(kFirstService, make_request(coap_code::kGet, 2, 2));
    test.advance_time(std::chrono::seconds(10));
    REQUIRE_FALSE(test.output.to_target.empty());
    for (const auto& sent : test.output.to_target) {
      CHECK(sent.target == Endpoint{0x0A000A02, 5683});
    }
  }

  TEST_CASE("responses that arrive out of order reach their own requests") {
    BalancerFixture test;
    const auto one = make_request(coap_code::kGet, 1, 0x11);
    const auto two = make_request(coap_code::kGet, 2, 0x22);
    test.request(kFirstService, one, {kClient.address, 1001});
    test.request(kFirstService, two, {kClient.address, 1002});
    REQUIRE(test.output.to_target.size() == 2);
    const auto sent = test.output.to_target;
    test.respond(sent[1], make_response(two, "two"));
    test.respond(sent[0], make_response(one, "one"));
    REQUIRE(test.output.to_client.size() == 2);
    CHECK(test.output.to_client[0].flow.client.port == 1002);
    CHECK(payload_of(test.output.to_client[0].message) == "two");
    CHECK(test.output.to_client[1].flow.client.port == 1001);
    CHECK(payload_of(test.output.to_client[1].message) == "one");
  }

  TEST_CASE("a response with the token or id of another request is dropped") {
    BalancerFixture test;
    const auto one = make_request(coap_code::kGet, 1, 0x11);
    test.request(kFirstService, one);
    const auto sent = test.output.to_target.front();
    test.respond(sent, make_response(make_request(coap_code::kGet, 1, 0x99), "foreign"));
    SentToTarget other = sent;
    other.header.request_id->sequence += 1000;
    test.respond(other, make_response(one, "foreign"));
    CHECK(test.output.to_client.empty());
    CHECK(test.balancer.counters().answers_unmatched == 2);
  }

  TEST_CASE("a late response after the verdict is dropped") {
    BalancerFixture test;
    const auto request = make_request(coap_code::kPost, 1, 1);
    test.request(kFirstService, request);
    test.advance_time(std::chrono::seconds(5));
    REQUIRE(test.output.to_client.size() == 1);
    const auto verdict = parse(test.output.to_client[0].message);
    CHECK(verdict->code == coap_code::kGatewayTimeout);
    CHECK(verdict->max_age);
    test.respond(test.output.to_target.front(), make_response(request, "late"));
    CHECK(test.output.to_client.size() == 1);
  }

  TEST_CASE("a non-idempotent request is sent once, however often the client retransmits it") {
    BalancerFixture test;
    const auto request = make_request(coap_code::kPost, 1, 1);
    for (int i = 0; i < 5; ++i) {
      test.request(kFirstService, request);
      test.advance_time(std::chrono::milliseconds(500));
    }
    CHECK(test.output.to_target.size() == 1);
    test.respond(test.output.to_target[0], make_response(request, "done"));
    test.request(kFirstService, request);
    REQUIRE(test.output.to_client.size() == 2);
    CHECK(test.output.to_client[0].message == test.output.to_client[1].message);
  }

  TEST_CASE("an idempotent request without a response is resent to the same target") {
    BalancerFixture test;
    test.request(kFirstService, make_request(coap_code::kGet, 1, 1));
    test.advance_time(std::chrono::seconds(2));
    REQUIRE(test.output.to_target.size() >= 3);
    for (const auto& sent : test.output.to_target) {
      CHECK(sent.target == kFirstTarget);
      CHECK(sent.header.request_id == test.output.to_target[0].header.request_id);
    }
  }

  TEST_CASE("the target receives the remaining time, and a reset when it is over") {
    BalancerFixture test;
    test.request(kFirstService, make_request(coap_code::kPost, 1, 1));
    REQUIRE(test.output.to_target.size() == 1);
    CHECK(test.output.to_target[0].header.time_left_ms == 4000);
    test.advance_time(std::chrono::seconds(5));
    REQUIRE(test.output.to_target.size() == 2);
    CHECK(parse(test.output.to_target[1].message)->type == CoapType::kReset);
  }

  TEST_CASE("a non-idempotent request is never sent without a lease") {
    BalancerFixture test;
    test.balancer.on_lease(test.now);
    test.request(kFirstService, make_request(coap_code::kPost, 1, 1));
    CHECK(test.output.to_target.empty());
    REQUIRE(test.output.to_client.size() == 1);
    CHECK(parse(test.output.to_client[0].message)->code == coap_code::kGatewayTimeout);
  }

  TEST_CASE("a request over the limit is rejected at once, with a time to retry") {
    BalancerFixture test;
    FleetState next = test.fleet;
    next.settings.services[0].queue_limit = 3;
    test.apply_fleet(next);
    const Instant before = test.now;
    for (std::uint16_t i = 0; i < 40; ++i) {
      test.request(kFirstService, make_request(coap_code::kGet, i, 1),
                   {kClient.address + i, 40000});
    }
    CHECK(test.now == before);
    REQUIRE_FALSE(test.output.to_client.empty());
    std::set<std::uint32_t> times;
    for (const auto& sent : test.output.to_client) {
      const auto verdict = parse(sent.message);
      CHECK(verdict->code == coap_code::kServiceUnavailable);
      REQUIRE(verdict->max_age);
      times.insert(*verdict->max_age);
    }
    CHECK(times.size() > 1);
    CHECK(test.output.to_target.size() + test.output.to_client.size() + 3 == 40);
  }

  TEST_CASE(
      "an observation displaces an ordinary request from a full queue, a continuation is kept") {
    BalancerFixture test;
    FleetState next = test.fleet;
    next.settings.services[0].queue_limit = 1;
    test.apply_fleet(next);
    std::uint16_t id = 0;
    while (test.output.to_client.empty()) {
      ++id;
      test.request(kFirstService, make_request(coap_code::kGet, id, 1), {kClient.address + id, 1});
    }
    test.output.to_client.clear();
    CoapMessage registration = make_request(coap_code::kGet, 500, 5);
    registration.observe = 0;
    test.request(kFirstService, registration, {kClient.address, 5});
    REQUIRE(test.output.to_client.size() == 1);
    CHECK(test.output.to_client[0].flow.client.port == 1);
    CoapMessage block = make_request(coap_code::kGet, 501, 6);
    block.block2 = BlockOption{2, false, 4};
    test.request(kFirstService, block, {kClient.address, 6});
    CHECK(test.output.to_client.size() == 1);
  }

  TEST_CASE("a draining target keeps its observations and gets no new work") {
    BalancerFixture test;
    FleetState next = test.fleet;
    Target second = next.settings.services[0].targets[0];
    second.name = "second";
    second.address = {0x0A000A02, 5683};
    next.settings.services[0].targets[0].draining = true;
    CoapMessage registration = make_request(coap_code::kGet, 1, 1);
    registration.observe = 0;
    test.request(kFirstService, registration);
    CoapMessage first_notification = make_response(registration, "state");
    first_notification.observe = 1;
    test.respond(test.output.to_target[0], first_notification);
    next.settings.services[0].targets.push_back(second);
    test.apply_fleet(next);
    test.output.to_target.clear();
    test.request(kFirstService, make_request(coap_code::kGet, 2, 2));
    REQUIRE(test.output.to_target.size() == 1);
    CHECK(test.output.to_target[0].target == second.address);
    test.request(kFirstService, registration);
    CHECK(test.output.to_target.back().target == kFirstTarget);
  }

  TEST_CASE("after a pause of the process, datagrams are dropped until updates can arrive") {
    BalancerFixture test;
    test.advance_time(std::chrono::milliseconds(100));
    test.now += std::chrono::seconds(10);
    test.request(kFirstService, make_request(coap_code::kGet, 1, 1));
    CHECK(test.output.to_target.empty());
    test.advance_time(std::chrono::milliseconds(300));
    test.request(kFirstService, make_request(coap_code::kGet, 1, 1));
    CHECK(test.output.to_target.size() == 1);
  }

  TEST_CASE("a partition number out of range from a peer is ignored") {
    BalancerFixture test;
    const TakeoverRequest request{99, 4000000000U, 0, 0};
    test.balancer.on_peer_message({1, 1}, request, test.now);
    CHECK(test.output.to_peer.empty());
  }

  TEST_CASE("a backup's copy of an earlier owner's state is reported as incomplete") {
    // Guards against a takeover from a stale copy that is reported as complete.
    constexpr std::uint64_t kOwner = 1;
    constexpr std::uint64_t kLaterOwner = 2;
    for (const std::uint64_t last_owner : {kOwner, kLaterOwner}) {
      FleetState fleet = make_test_fleet();
      fleet.members[0].state = MemberState::kLeaving;
      fleet.members.push_back({"other", "zone-b", {7, 6000}, 9, MemberState::kActive});
      BalancerOutputRecorder output;
      Balancer balancer({fleet.members[0], {}}, output);
      const Instant now{std::chrono::seconds(1000)};
      balancer.on_fleet(fleet, now);
      ReplicateRequest copy;
      copy.members_revision = 2;
      copy.owner = kOwner;
      copy.ends_copy = true;
      balancer.on_peer_message({5, 6000}, copy, now);
      balancer.on_peer_message({7, 6000}, TakeoverRequest{3, 0, 0, last_owner}, now);
      REQUIRE(output.to_peer.size() == 2);
      const auto& chunk = std::get<TakeoverChunk>(output.to_peer[1]);
      CHECK(chunk.source_state ==
            (last_owner == kOwner ? SourceState::kComplete : SourceState::kIncomplete));
    }
  }

  TEST_CASE("an older fleet revision is ignored") {
    BalancerFixture test;
    FleetState older = test.fleet;
    --older.revision;
    older.settings.services.clear();
    test.balancer.on_fleet(older, test.now);
    test.request(kFirstService, make_request(coap_code::kGet, 1, 1));
    CHECK(test.output.to_target.size() == 1);
  }
}

}  // namespace gorsevalve
