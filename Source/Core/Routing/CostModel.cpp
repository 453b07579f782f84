#include "Routing/CostModel.h"

#include <algorithm>
#include <bit>

namespace Routing {

namespace {

// A new sample has a weight of 1 / MeanWindow in the mean. Few calls take many
// times as long as the others, so that a short window would follow chance.
constexpr int MeanWindow = 48;
constexpr int MinSamples = 4;
// Bodies of 2^22 bytes and more share one class.
constexpr int MaxSizeClass = 23;
constexpr double UsualPercent = 100;

} // namespace

void CostModel::Mean::add(double Value) {
  Samples = std::min(Samples + 1, MeanWindow);
  Micros += (Value - Micros) / Samples;
}

// Powers of two: class 0 is an empty body, class N has 2^(N-1) to 2^N - 1
// bytes.
int CostModel::sizeClass(std::size_t BodyBytes) {
  return std::min(static_cast<int>(std::bit_width(BodyBytes)), MaxSizeClass);
}

void CostModel::addSample(const CostSample &Sample) {
  if (Sample.ServiceTime.count() <= 0)
    return;
  const double Slowness =
      Sample.SlownessPercent > 0 ? Sample.SlownessPercent / UsualPercent : 1;
  const double Cost =
      static_cast<double>(Sample.ServiceTime.count()) / Slowness;
  KindCosts &Costs = Kinds[Sample.Kind];
  Costs.All.add(Cost);
  Costs.BySize[sizeClass(Sample.BodyBytes)].add(Cost);
}

Common::Micros CostModel::expected(const std::string &Kind,
                                   std::size_t BodyBytes) const {
  const auto Found = Kinds.find(Kind);
  if (Found == Kinds.end() || Found->second.All.Samples < MinSamples)
    return Common::Micros(0);
  const auto &BySize = Found->second.BySize;
  const auto OfSize = BySize.find(sizeClass(BodyBytes));
  const Mean &Cost =
      OfSize != BySize.end() && OfSize->second.Samples >= MinSamples
          ? OfSize->second
          : Found->second.All;
  return Common::Micros(static_cast<std::int64_t>(Cost.Micros));
}

void CostModel::useKinds(
    const std::map<std::string, Config::RequestKind> &Current) {
  std::erase_if(
      Kinds, [&](const auto &Entry) { return !Current.contains(Entry.first); });
}

} // namespace Routing
