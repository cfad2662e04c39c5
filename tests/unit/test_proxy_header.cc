#include <doctest/doctest.h>

#include "codec/proxy_header.h"

namespace gorsevalve {
namespace {

const FlowKey kFlow{{0x0A000001, 40000}, {0x0A000101, 5683}};
const Bytes kPayload = {1, 2, 3};

ProxyHeader full_header() {
  ProxyHeader header;
  header.flow = kFlow;
  header.request_id = RequestId{7, 9};
  header.target = Endpoint{0x0A000A01, 5683};
  header.relay = RelayInfo{2, 77};
  header.time_left_ms = 4000;
  return header;
}

}  // namespace

TEST_SUITE("proxy_header") {
  TEST_CASE("all fields are unchanged after encoding and decoding") {
    const Bytes datagram = encode_proxy_datagram(full_header(), kPayload);
    const auto decoded = decode_proxy_datagram(datagram);
    REQUIRE(decoded);
    CHECK(decoded->header.flow == kFlow);
    CHECK(decoded->header.request_id == RequestId{7, 9});
    CHECK(decoded->header.target == Endpoint{0x0A000A01, 5683});
    REQUIRE(decoded->header.relay);
    CHECK(decoded->header.relay->hops == 2);
    CHECK(decoded->header.relay->members_revision == 77);
    CHECK(decoded->header.time_left_ms == 4000);
    CHECK(Bytes(decoded->payload.begin(), decoded->payload.end()) == kPayload);
  }

  TEST_CASE("the header matches the byte layout of the specification") {
    const Bytes datagram = encode_proxy_datagram({kFlow, {}, {}, {}}, {});
    const Bytes expected = {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49,
                            0x54, 0x0A, 0x21, 0x12, 0x00, 0x0C, 10,   0,    0,    1,
                            10,   0,    1,    1,    0x9C, 0x40, 0x16, 0x33};
    CHECK(datagram == expected);
  }

  TEST_CASE("truncated headers and corrupted fixed fields are rejected") {
    const Bytes datagram = encode_proxy_datagram(full_header(), {});
    for (std::size_t size = 0; size < datagram.size(); ++size) {
      CHECK_FALSE(decode_proxy_datagram(ByteView(datagram).first(size)));
    }
    for (std::size_t i = 0; i < 14; ++i) {
      Bytes changed = datagram;
      changed[i] ^= 0xFFU;
      CHECK_FALSE(decode_proxy_datagram(changed));
    }
  }
}

}  // namespace gorsevalve
