#include <doctest/doctest.h>

#include <cstring>
#include <random>

#include "platform/node_settings.h"
#include "platform/packet_header.h"
#include "platform/request_bodies.h"

namespace gorsevalve::platform {
namespace {

/// Opening packet from the protocol page.
const Bytes kOpeningPacket = {0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0xd5,
                              0xc3, 0xb2, 0xa1, 0x01, 0x00, 0x12, 0xc6, 0x41, 0x9c, 0x07, 0x00,
                              0x40, 0x64, 0xbb, 0x01, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00};
/// Reset for it from the protocol page.
const Bytes kReset = {0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                      0x00, 0x00, 0x00, 0x07, 0x00, 0x40, 0x64, 0xbb, 0x01, 0x01, 0x00,
                      0x12, 0xc6, 0x41, 0x9c, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00};

const std::string kConfiguration = R"({"version":7,"routes":[
  {"name":"a","host":"198.18.0.1","path_prefix":"/8443/","type":"idempotent","timeout_ms":1200,
   "aim_ms":120,"priority":2,"backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "attempts":2},
  {"name":"b","host":"198.18.0.1","path_prefix":"/8080/","type":"non_idempotent","timeout_ms":1500,
   "aim_ms":150,"priority":1,"service":"s1","attempts":2}],
 "services":[{"name":"s1","health_check":"/health","max_conns":2000,"protocol":"h1","tls":false},
  {"name":"s2","health_check":"/health","max_conns":2000,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
  "idle_timeout_ms":15000}})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

const std::string kAnnouncement =
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":2,)"
    R"("state":"ready","warmup_left_ms":0,"seq":4})";

const std::string kSettings = R"(name = "edge-1"
zone = "z"
ip = "10.1.0.10"
first_internal_port = 7720
datagrams = "10.1.0.10:8172"
readiness = "10.1.0.10:8167"
control = ""
seeds = ["10.1.0.13:8166","10.2.0.42:8166"]
first_start = true
data_folder = ""
announce_interval_ms = 1200
stop_time_s = 6
forwarding = "echo"
link_mbit_per_s = "2.0"
zones = ["z","y"]
)";

}  // namespace

TEST_SUITE("platform") {
  TEST_CASE(
      "the opening packet of the protocol page is parsed and its reset has the bytes of the page") {
    const PlatformPacketFormat format(8172);
    const auto packet = format.parse(kOpeningPacket);
    REQUIRE(packet);
    CHECK(packet->opens);
    CHECK(to_string(packet->flow.client) == "100.64.0.7:40001");
    CHECK(to_string(packet->flow.frontend) == "198.18.0.1:443");
    CHECK(packet->retransmissions == 0);
    CHECK(format.make_reset(reset_of(*packet)) == kReset);
    CHECK(to_string(format.reset_destination(reset_of(*packet))) == "100.64.0.7:8172");
  }

  TEST_CASE("a forwarded packet has the target's id as prefix and differs in the token only") {
    const PlatformPacketFormat format(8172);
    RegisteredTarget target;
    target.id = 0x7f3a91c2;
    target.token = 0x04030201;
    REQUIRE(format.forwarded_size(kOpeningPacket.size()) == 8 + kOpeningPacket.size());
    Bytes out(8 + kOpeningPacket.size());
    format.write_forwarded(kOpeningPacket, target, out);
    const std::array<std::uint8_t, 8> expected = {0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
    CHECK(std::memcmp(out.data(), expected.data(), expected.size()) == 0);
    CHECK(std::memcmp(out.data() + 8, kOpeningPacket.data(), 28) == 0);
    CHECK(format.parse(ByteView(out).subspan(8))->token == 0x04030201);
  }

  TEST_CASE("malformed packets and packets that only targets send are rejected") {
    const PlatformPacketFormat format(8172);
    CHECK_FALSE(format.parse(ByteView(kOpeningPacket).first(31)));
    Bytes longer = kOpeningPacket;
    longer.push_back(0);
    CHECK_FALSE(format.parse(longer));
    Bytes syn_ack = kOpeningPacket;
    syn_ack[26] = 8 | 2;
    CHECK_FALSE(format.parse(syn_ack));
  }

  TEST_CASE("a configuration is parsed into steering settings") {
    const auto settings = parse_steering_settings(kConfiguration);
    REQUIRE(settings);
    CHECK(settings->version == 7);
    CHECK(settings->idle_timeout_ms == 15000);
    REQUIRE(settings->frontends.size() == 2);
    CHECK(to_string(settings->frontends[0].address) == "198.18.0.1:8080");
    REQUIRE(settings->frontends[1].pools.size() == 2);
    CHECK(settings->frontends[1].pools[0] == WeightedPool{"s1", 90});
    CHECK(settings->frontends[0].pools[0].pool == "s1");
  }

  TEST_CASE("request classes, priorities and warm-up are parsed") {
    std::string text = replaced(kConfiguration, R"("type":"idempotent")", R"("type":"upload")");
    text = replaced(text, R"("tls":false})", R"("tls":false,"warmup_s":2.5,"warmup_per_s":7.5})");
    const auto settings = parse_steering_settings(text);
    REQUIRE(settings);
    CHECK(settings->frontends[0].request_class == RequestClass::kNonIdempotent);
    CHECK(settings->frontends[0].priority == 1);
    CHECK(settings->frontends[1].request_class == RequestClass::kUpload);
    CHECK(settings->frontends[1].priority == 2);
    CHECK(settings->pools[0].warm_up_ms == 2500);
    CHECK(settings->pools[0].cold_flows_per_1000_s == 7500);
    CHECK(settings->pools[1].cold_flows_per_1000_s == 0);
  }

  TEST_CASE("an unknown request type becomes the non-idempotent class") {
    const auto settings = parse_steering_settings(
        replaced(kConfiguration, R"("type":"idempotent")", R"("type":"tail")"));
    REQUIRE(settings);
    CHECK(settings->frontends[1].request_class == RequestClass::kNonIdempotent);
  }

  TEST_CASE("an invalid configuration is rejected with the name of the field") {
    const auto rejected = [](const std::string& body, const std::string& word) {
      const auto settings = parse_steering_settings(body);
      REQUIRE_FALSE(settings);
      CHECK(settings.error().find(word) != std::string::npos);
    };
    rejected(kConfiguration.substr(0, kConfiguration.size() - 9), "JSON");
    rejected("[]", "version");
    rejected(
        replaced(kConfiguration, R"("service":"s1","attempts")", R"("service":"x","attempts")"),
        "not declared");
    rejected(replaced(kConfiguration, "/8080/", "/8443/"), "same place");
    rejected(replaced(kConfiguration, R"("timeout_ms":1500)", R"("timeout_ms":0)"), "timeout_ms");
    rejected(replaced(kConfiguration, R"("weight":90)", R"("weight":-1)"), "weight");
    rejected(replaced(replaced(kConfiguration, R"("weight":90)", R"("weight":0)"), R"("weight":10)",
                      R"("weight":0)"),
             "weight");
    rejected(replaced(kConfiguration, R"({"service":"s2","weight":10})", R"({"service":"s2"})"),
             "weight");
    rejected(replaced(kConfiguration, R"("version":7)", R"("version":"7")"), "version");
    rejected(replaced(kConfiguration, "198.18.0.1", "198.18.0"), "host");
  }

  TEST_CASE("announcements are parsed and invalid ones are rejected") {
    const auto target = parse_announcement("i-7f3a91c2", kAnnouncement);
    REQUIRE(target);
    CHECK(target->id == 0x7f3a91c2);
    CHECK(target->pool == "s1");
    CHECK(target->phase == TargetPhase::kReady);
    CHECK(target->sequence == 4);
    const auto draining =
        parse_announcement("i-7f3a91c2", replaced(kAnnouncement, "ready", "draining"));
    CHECK(draining->phase == TargetPhase::kDraining);
    CHECK_FALSE(parse_announcement("i-", kAnnouncement));
    CHECK_FALSE(parse_announcement("i-xyz", kAnnouncement));
    CHECK_FALSE(parse_announcement("i-1", replaced(kAnnouncement, "ready", "gone")));
    CHECK_FALSE(parse_announcement("i-1", replaced(kAnnouncement, R"("seq":4)", R"("seq":"4")")));
    CHECK_FALSE(parse_announcement("i-1", replaced(kAnnouncement, "10.128.0.9:8080", "here")));
  }

  TEST_CASE("an announcement gives the incarnation of the target") {
    CHECK(parse_announcement("i-1", kAnnouncement)->started_at_ms == 0);
    const auto with_start = [](const std::string& start) {
      return parse_announcement("i-1", replaced(kAnnouncement, "{", R"({"born":)" + start + ","));
    };
    CHECK(with_start("1764732526000")->started_at_ms == 1764732526000);
    CHECK(with_start("253402300799999")->started_at_ms == 253402300799999);
    for (const char* const wrong :
         {"\"1764732526000\"", "-1", "1764732526000.5", "null", "true", "[1]", "{}", "1e400",
          "253402300800000", "99999999999999999999"}) {
      const auto rejected = with_start(wrong);
      REQUIRE_FALSE(rejected);
      CHECK((rejected.error().find("born") != std::string::npos ||
             rejected.error().find("JSON") != std::string::npos));
    }
  }

  TEST_CASE("the end of a target may give the incarnation that ends") {
    CHECK(parse_target_end("").value() == std::nullopt);
    CHECK(parse_target_end("{}").value() == std::nullopt);
    CHECK(parse_target_end(R"({"born":1764732526000})").value() == TargetStart{1764732526000});
    CHECK_FALSE(parse_target_end(R"({"born":"yesterday"})"));
    CHECK_FALSE(parse_target_end("\xff\xfe"));
  }

  TEST_CASE("a malformed announcement is rejected with a message that can be serialized") {
    const std::string deep(100000, '[');
    for (const std::string& malformed :
         {std::string(), std::string("null"), std::string("7"), std::string("[]"),
          std::string("\"text\""), std::string("{}"), std::string("\xc3\x28\xff"), deep,
          R"({"service":)" + deep, replaced(kAnnouncement, R"("slots":2)", R"("slots":-2)"),
          replaced(kAnnouncement, R"("slots":2)", R"("slots":4294967296)"),
          replaced(kAnnouncement, R"("service":"s1")", R"("service":["s1"])"),
          replaced(kAnnouncement, R"("zone":"z")", R"("zone":null)"),
          replaced(kAnnouncement, R"("ready")", R"("READY")"),
          replaced(kAnnouncement, R"("ready")", R"(0)"),
          replaced(kAnnouncement, R"("warmup_left_ms":0,)", "")}) {
      const auto rejected = parse_announcement("i-7f", malformed);
      REQUIRE_FALSE(rejected);
      // The message may quote invalid UTF-8 and still has to fit into a JSON response.
      CHECK(error_body(rejected.error()).size() > 2);
    }
  }

  TEST_CASE("node settings are parsed and an invalid field is named") {
    const auto settings = parse_node_settings(kSettings, "boot.conf");
    REQUIRE(settings);
    CHECK(settings->udp_address.port == 8172);
    CHECK(settings->control_address.port == 0);
    CHECK(settings->reflects_token);
    REQUIRE(settings->replica_addresses().size() == 2);
    CHECK(to_string(settings->replica_addresses()[1]) == "10.2.0.42:7720");
    CHECK(settings->link_bytes_per_s == 250000);
    CHECK(settings->zones == std::vector<std::string>{"z", "y"});
    for (const char* implausible : {"", "0", "-2", "nan", "1e99", "fast", "2.0 "}) {
      const std::string rate = "\"" + std::string(implausible) + "\"";
      const auto other = parse_node_settings(replaced(kSettings, "\"2.0\"", rate), "boot.conf");
      REQUIRE(other);
      CHECK(other->link_bytes_per_s == 0);
    }
    const auto bad =
        parse_node_settings(replaced(kSettings, "10.1.0.10:8172", "here"), "boot.conf");
    REQUIRE_FALSE(bad);
    CHECK(bad.error() == "boot.conf: datagrams: \"here\" is not an address such as 10.0.0.1:8166");
    CHECK_FALSE(parse_node_settings("name = ", "boot.conf"));
  }

  TEST_CASE("corrupted input does not crash the parsers") {
    std::mt19937_64 random(20261202);
    const PlatformPacketFormat format(8172);
    for (int round = 0; round < 20000; ++round) {
      Bytes packet = kOpeningPacket;
      std::string body = round % 2 == 0 ? kConfiguration : kAnnouncement;
      packet[random() % packet.size()] ^= static_cast<std::uint8_t>(1U << (random() % 8));
      packet.resize(packet.size() + random() % 3 - 1);
      body[random() % body.size()] = static_cast<char>(random());
      body.resize(body.size() - random() % 5);
      static_cast<void>(format.parse(packet));
      static_cast<void>(parse_steering_settings(body));
      static_cast<void>(parse_announcement("i-7f", body));
    }
  }
}

}  // namespace gorsevalve::platform
