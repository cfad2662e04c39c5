#include "core/steering/steering_policy.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace gorsevalve {
namespace {

constexpr std::array kFields = {
    PolicyField{
        "hold_ms", &SteeringPolicy::hold_ms, 0, 5000,
        "maximum time to buffer a packet without a state, in milliseconds; 0: no buffering"},
    PolicyField{"copies_at_same_target", &SteeringPolicy::copies_at_same_target, 0, 10,
                "retransmissions of an opening packet that go to the first target"},
    PolicyField{"suspect_after", &SteeringPolicy::suspect_after, 0, 100,
                "consecutive unanswered opening packets after which a target is avoided; 0: never"},
    PolicyField{"refusals", &SteeringPolicy::refusals, 0, 1,
                "1: targets that refuse flows are avoided and reported to all balancers"},
    PolicyField{"stalls", &SteeringPolicy::stalls, 0, 1,
                "1: requests without a response are reported"},
    PolicyField{"probes", &SteeringPolicy::probes, 0, 1,
                "1: suspected targets are probed, and flows at unreachable ones are reset"},
    PolicyField{"refusal_probes", &SteeringPolicy::refusal_probes, 0, 1,
                "1: targets with overdue handshakes are probed, and refusals reported immediately"},
    PolicyField{"looks_around", &SteeringPolicy::looks_around, 0, 1,
                "1: when a target refuses, other targets of its zone are probed too"},
    PolicyField{"load_step", &SteeringPolicy::load_step, 0, 100,
                "loads within one step count as equal; 0: only the local load counts"},
    PolicyField{"busy_weight", &SteeringPolicy::busy_weight, 0, 100,
                "weight of a request in flight, in open flows"},
    PolicyField{"cold_penalty", &SteeringPolicy::cold_penalty, 1, 100,
                "factor on the load of a target that is warming up"},
    PolicyField{"slow_factor", &SteeringPolicy::slow_factor, 0, 100,
                "multiple of the median response time from which a target is slow; 0: never"},
    PolicyField{"pressure_exponent", &SteeringPolicy::pressure_exponent, 0, 100,
                "how strongly load reported by all balancers decides between equal local loads"},
    PolicyField{"near_preference", &SteeringPolicy::near_preference, 1, 1000,
                "weight of a target in the local zone relative to one elsewhere"},
    PolicyField{"sample", &SteeringPolicy::sample, 0, 100000,
                "targets examined per new flow in a larger pool; 0: all"},
};

std::string format_number(double value) { return absl::StrCat(value); }

}  // namespace

std::span<const PolicyField> policy_fields() { return kFields; }

tl::expected<SteeringPolicy, std::string> parse_policy(const std::string& text) {
  SteeringPolicy policy;
  const std::vector<std::string> parts = absl::StrSplit(text, ',', absl::SkipEmpty());
  for (const auto& part : parts) {
    const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
    const auto field = std::find_if(kFields.begin(), kFields.end(),
                                    [&](const auto& one) { return one.name == pair.first; });
    if (field == kFields.end()) {
      return tl::unexpected("unknown policy field \"" + pair.first + "\"");
    }
    double value = 0;
    const bool is_number = absl::SimpleAtod(pair.second, &value);
    if (!is_number || !(value >= field->min_value && value <= field->max_value)) {
      return tl::unexpected(pair.first + ": must be a number from " +
                            format_number(field->min_value) + " to " +
                            format_number(field->max_value) + ", not \"" + pair.second + "\"");
    }
    policy.*(field->value) = value;
  }
  return policy;
}

std::string to_string(const SteeringPolicy& policy) {
  const SteeringPolicy defaults;
  std::vector<std::string> parts;
  for (const auto& field : kFields) {
    const double value = policy.*(field.value);
    if (value != defaults.*(field.value)) {
      parts.push_back(std::string(field.name) + "=" + format_number(value));
    }
  }
  return absl::StrJoin(parts, ",");
}

}  // namespace gorsevalve
