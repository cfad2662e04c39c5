#include <doctest/doctest.h>

#include "codec/archive.h"
#include "core/control/control_state.h"

namespace gorsevalve {
namespace {

FleetState sample_fleet() {
  FleetState fleet;
  fleet.revision = 300;
  fleet.settings.deployment = "test";
  fleet.settings.services.push_back({});
  fleet.settings.services.back().targets.push_back({});
  fleet.members.push_back({"b", "z", {1, 2}, ~std::uint64_t{0}, MemberState::kLeaving});
  return fleet;
}

}  // namespace

TEST_SUITE("archive") {
  TEST_CASE("a fleet state is unchanged after encoding and decoding") {
    const FleetState fleet = sample_fleet();
    CHECK(decode_archive<FleetState>(encode_archive(fleet)) == fleet);
  }

  TEST_CASE("truncated input and trailing bytes are rejected") {
    const Bytes bytes = encode_archive(sample_fleet());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(decode_archive<FleetState>(ByteView(bytes).first(size)));
    }
    Bytes longer = bytes;
    longer.push_back(0);
    CHECK_FALSE(decode_archive<FleetState>(longer));
  }

  TEST_CASE("a length larger than the input is rejected before memory is allocated") {
    const Bytes huge = {0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0x01};
    CHECK_FALSE(decode_archive<std::string>(huge));
    CHECK_FALSE(decode_archive<std::vector<std::uint64_t>>(huge));
  }

  TEST_CASE("integers out of the range of their type are rejected") {
    CHECK(decode_archive<std::uint16_t>(encode_archive(std::uint32_t{65535})) == 65535);
    CHECK_FALSE(decode_archive<std::uint16_t>(encode_archive(std::uint32_t{65536})));
    CHECK(decode_archive<std::int64_t>(encode_archive(std::int64_t{-5})) == -5);
  }
}

}  // namespace gorsevalve
