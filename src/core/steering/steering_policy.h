/// What a balancer goes by when it chooses targets and when it admits what it held. Each mechanism
/// is one number, so that it can be switched off alone and its worth be measured.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace gorsevalve {

struct SteeringPolicy {
  /// Longest time for which a starting balancer holds a packet, in milliseconds: less than the time
  /// after which callers give an opening up.
  double hold_ms = 1200;
  /// Copies of an opening packet that meet the target of the first: a lost packet is likelier than
  /// a lost target, and two targets that answer can split a flow.
  double copies_at_same_target = 1;
  /// Unanswered openings in a row after which a target is avoided for a while.
  double suspect_after = 2;
  /// 1: targets that refuse flows are avoided and reported.
  double refusals = 1;
  /// 1: requests without an answer are reported.
  double stalls = 1;
  /// 1: targets that seem dead are probed, and flows at those that are get reset.
  double probes = 1;
  /// 1: targets whose openings are overdue are probed, and refusals are told to others at once.
  double refusal_probes = 1;
  /// 1: where a target refuses, other targets of its zone are probed as well.
  double looks_around = 1;
  /// Loads within one step count as equal, so that figures of all balancers can decide.
  double load_step = 1;
  /// A request under way weighs as much as this many open flows.
  double busy_weight = 2;
  /// How much less work a warming target takes than a warm one.
  double cold_penalty = 1.6;
  /// A target is slow from this multiple of its pool's usual answer time on.
  double slow_factor = 1.8;
  /// How strongly the pressure that all balancers saw decides between equal loads. All get the same
  /// figures, so the least pressure must not decide alone: they would rush to one target.
  double pressure_exponent = 4;
  /// How often a target in the own zone wins against one elsewhere: octets between zones are dear.
  double near_preference = 4;
  /// Targets that an opening looks at in a larger pool; 0 for all. With as many chosen at random,
  /// the least loaded of them is nearly as good as that of the pool (Mitzenmacher, "The power of
  /// two choices in randomized load balancing", 2001, for two of them), and an opening costs the
  /// same in a pool of 8,000 as in one of 256. Where none of them is fit, all are looked at.
  double sample = 128;
};

/// One number of a policy: its name, its bounds, and what it does.
struct PolicyField {
  std::string_view name;
  double SteeringPolicy::*value;
  double min_value;
  double max_value;
  std::string_view description;
};

/// All fields, in the order of docs/POLICY.md.
std::span<const PolicyField> policy_fields();

/// Reads "name=value,name=value" over the defaults; an error names the field.
tl::expected<SteeringPolicy, std::string> parse_policy(const std::string& text);

/// The fields that differ from the defaults, as `parse_policy` reads them; empty for none.
std::string to_string(const SteeringPolicy& policy);

}  // namespace gorsevalve
