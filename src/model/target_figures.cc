#include "model/target_figures.h"

#include <algorithm>

namespace gorsevalve {
namespace {

std::vector<FlowToken> tokens_where(const std::vector<TargetFigure>& figures,
                                    bool TargetFigure::*property) {
  std::vector<FlowToken> tokens;
  for (const auto& figure : figures) {
    if (figure.*property) {
      tokens.push_back(figure.token);
    }
  }
  std::sort(tokens.begin(), tokens.end());
  return tokens;
}

}  // namespace

std::vector<FlowToken> TargetFigures::troubled() const {
  return tokens_where(figures, &TargetFigure::is_troubled);
}

std::vector<FlowToken> TargetFigures::unreachable() const {
  return tokens_where(figures, &TargetFigure::is_unreachable);
}

}  // namespace gorsevalve
