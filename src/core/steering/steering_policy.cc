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
    PolicyField{"hold_ms", &SteeringPolicy::hold_ms, 0, 5000,
                "milliseconds for which a packet waits for a state; 0: none waits"},
    PolicyField{"copies_at_same_target", &SteeringPolicy::copies_at_same_target, 0, 10,
                "copies of an opening packet that meet the target of the first"},
    PolicyField{"suspect_after", &SteeringPolicy::suspect_after, 0, 100,
                "unanswered openings in a row after which a target is avoided; 0: never"},
    PolicyField{"refusals", &SteeringPolicy::refusals, 0, 1,
                "1: a target that refuses a flow is avoided, and all balancers are told"},
    PolicyField{"stalls", &SteeringPolicy::stalls, 0, 1,
                "1: requests without an answer are reported"},
    PolicyField{"probes", &SteeringPolicy::probes, 0, 1,
                "1: targets that seem dead are probed, and flows at those that are get reset"},
    PolicyField{"refusal_probes", &SteeringPolicy::refusal_probes, 0, 1,
                "1: targets whose openings are overdue are probed, and refusals are told at once"},
    PolicyField{"looks_around", &SteeringPolicy::looks_around, 0, 1,
                "1: where a target refuses, others of its zone are probed as well"},
    PolicyField{"load_step", &SteeringPolicy::load_step, 0, 100,
                "loads within one step count as equal; 0: the own view alone decides"},
    PolicyField{"busy_weight", &SteeringPolicy::busy_weight, 0, 100,
                "open flows that a request under way counts as"},
    PolicyField{"cold_penalty", &SteeringPolicy::cold_penalty, 1, 100,
                "factor on the load of a target that warms up"},
    PolicyField{"slow_factor", &SteeringPolicy::slow_factor, 0, 100,
                "multiple of the defaults answer time from which a target is slow; 0: never"},
    PolicyField{"pressure_exponent", &SteeringPolicy::pressure_exponent, 0, 100,
                "how strongly what all balancers saw decides between equal loads"},
    PolicyField{"near_preference", &SteeringPolicy::near_preference, 1, 1000,
                "how often a target in the own zone wins against one elsewhere"},
    PolicyField{"sample", &SteeringPolicy::sample, 0, 100000,
                "targets that an opening looks at in a larger pool; 0: all"},
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
