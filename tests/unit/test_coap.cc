#include <doctest/doctest.h>

#include "codec/coap.h"

namespace gorsevalve {
namespace {

CoapMessage sample_request() {
  CoapMessage message;
  message.code = coap_code::kGet;
  message.message_id = 0x1234;
  message.token.length = 2;
  message.token.bytes = {0xAA, 0xBB};
  message.observe = 0;
  message.path = {"feed", "a"};
  message.queries = {"id=7"};
  message.block2 = BlockOption{3, false, 4};
  return message;
}

}  // namespace

TEST_SUITE("coap") {
  TEST_CASE("a request is unchanged after encoding and parsing") {
    CoapParser parser;
    const auto summary = parser.parse(encode_coap(sample_request()));
    REQUIRE(summary);
    CHECK(summary->is_request());
    CHECK(summary->message_id == 0x1234);
    CHECK(summary->token == sample_request().token);
    CHECK(summary->observe == 0);
    REQUIRE(summary->block2);
    CHECK(summary->block2->number == 3);
    CHECK(summary->path_hash == coap_path_hash("/feed/a"));
    CHECK(parser.path() == "/feed/a");
    CHECK(parser.queries() == std::vector<std::string>{"id=7"});
  }

  TEST_CASE("the example of RFC 7252 appendix A parses") {
    const Bytes get_temperature = {0x40, 0x01, 0x7D, 0x34, 0xBB, 't', 'e', 'm',
                                   'p',  'e',  'r',  'a',  't',  'u', 'r', 'e'};
    CoapParser parser;
    const auto summary = parser.parse(get_temperature);
    REQUIRE(summary);
    CHECK(summary->message_id == 0x7D34);
    CHECK(summary->path_hash == coap_path_hash("/temperature"));
  }

  TEST_CASE("malformed and oversized messages are rejected") {
    CoapParser parser;
    CHECK_FALSE(parser.parse({}));
    CHECK_FALSE(parser.parse(Bytes{0x40}));
    CHECK_FALSE(parser.parse(Bytes{0x80, 0x01, 0, 1}));
    CHECK_FALSE(parser.parse(Bytes{0x49, 0x01, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9}));
    CHECK_FALSE(parser.parse(Bytes{0x40, 0x01, 0, 1, 0xFF}));
    CHECK_FALSE(parser.parse(Bytes(kMaxCoapSize + 1, 0x40)));
  }

  TEST_CASE("a verdict reports whether the request may have run, and the retry delay") {
    CoapParser parser;
    CoapToken token;
    token.length = 1;
    const Verdict not_run{Execution::kNotRun, FailureReason::kOverload, std::chrono::seconds(3)};
    auto summary = parser.parse(encode_verdict(not_run, CoapType::kConfirmable, 5, token));
    REQUIRE(summary);
    CHECK(summary->code == coap_code::kServiceUnavailable);
    CHECK(summary->type == CoapType::kAcknowledgement);
    CHECK(summary->max_age == 3);
    const Verdict may_have_run{Execution::kMayHaveRun, FailureReason::kDeadline,
                               std::chrono::seconds(2)};
    summary = parser.parse(encode_verdict(may_have_run, CoapType::kNonConfirmable, 5, token));
    REQUIRE(summary);
    CHECK(summary->code == coap_code::kGatewayTimeout);
    CHECK(summary->type == CoapType::kNonConfirmable);
  }

  TEST_CASE("Observe values are compared modulo 2^24 and rewritten in place") {
    CHECK(observe_is_fresher(1, 2));
    CHECK_FALSE(observe_is_fresher(2, 1));
    CHECK_FALSE(observe_is_fresher(2, 2));
    CHECK(observe_is_fresher(kObserveMask, 0));
    CoapMessage message = sample_request();
    message.payload = {'x'};
    Bytes encoded = encode_coap(message);
    const std::size_t size = encoded.size();
    encoded.resize(size + 4);
    const std::size_t new_size = set_coap_observe(encoded, size, 0x010203);
    REQUIRE(new_size > size);
    CoapParser parser;
    const auto summary = parser.parse(ByteView(encoded).first(new_size));
    REQUIRE(summary);
    CHECK(summary->observe == 0x010203);
    CHECK(summary->path_hash == coap_path_hash("/feed/a"));
    CHECK(parser.payload().size() == 1);
  }
}

}  // namespace gorsevalve
