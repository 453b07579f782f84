#include "Report/CallMetrics.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace Report {

namespace {

namespace Acc = boost::accumulators;

// Services and kinds come from the set in force, but unmatched requests must
// not grow the page either.
constexpr std::size_t MaxSeries = 512;
const std::vector<double> Quantiles = {0.5, 0.9, 0.99, 0.999};

using LatencyStats = Acc::accumulator_set<
    double, Acc::stats<Acc::tag::count, Acc::tag::mean, Acc::tag::max,
                       Acc::tag::extended_p_square_quantile>>;

std::string labels(const std::string &Service, const std::string &Kind) {
  return "service=\"" + Service + "\",kind=\"" + Kind + "\"";
}

} // namespace

struct CallMetrics::Series {
  std::map<int, std::uint64_t> ByResult;
  std::uint64_t Attempts = 0;
  LatencyStats Latency{Acc::extended_p_square_probabilities = Quantiles};
  CallWindow Window;
};

CallMetrics::CallMetrics() = default;
CallMetrics::~CallMetrics() = default;

void CallMetrics::record(const CallSample &Sample, Common::SteadyTime Now) {
  SeriesKey Key(Sample.Service, Sample.Kind);
  if (All.size() >= MaxSeries && !All.contains(Key))
    Key = {"other", "other"};
  std::unique_ptr<Series> &Found = All[Key];
  if (!Found)
    Found = std::make_unique<Series>();
  ++Found->ByResult[Common::resultCodeNumber(Sample.Result)];
  Found->Attempts += static_cast<std::uint64_t>(Sample.Attempts);
  if (Sample.Result == Common::ResultCode::Ok)
    Found->Latency(static_cast<double>(Sample.Latency.count()));
  Found->Window.record(Sample, Now);
}

std::string CallMetrics::page(Common::SteadyTime Now) const {
  std::ostringstream Out;
  for (const auto &[Key, Each] : All) {
    const std::string Labels = labels(Key.first, Key.second);
    for (const auto &[Result, Count] : Each->ByResult)
      Out << "zinnia_calls_total{" << Labels << ",result=\"" << Result << "\"} "
          << Count << '\n';
    Out << "zinnia_attempts_total{" << Labels << "} " << Each->Attempts << '\n';
    if (Acc::count(Each->Latency) > 0) {
      for (const double Share : Quantiles)
        Out << "zinnia_call_latency_us{" << Labels << ",quantile=\"" << Share
            << "\"} "
            << Acc::quantile(Each->Latency, Acc::quantile_probability = Share)
            << '\n';
      Out << "zinnia_call_latency_us_max{" << Labels << "} "
          << Acc::max(Each->Latency) << '\n';
    }
    for (const NamedWindow &Window : BurnWindows) {
      const CallCounts Counts = Each->Window.last(Window.Length, Now);
      const std::string Inside = Labels + ",window=\"" + Window.Name + "\"";
      for (std::size_t Class = 0; Class < OutcomeCount; ++Class)
        Out << "zinnia_window_calls{" << Inside << ",class=\""
            << outcomeName(static_cast<Outcome>(Class)) << "\"} "
            << Counts.ByOutcome[Class] << '\n';
      for (std::size_t Class = 0; Class < Counts.ByLatency.size(); ++Class)
        if (Counts.ByLatency[Class] > 0)
          Out << "zinnia_window_latency{" << Inside << ",class=\"" << Class
              << "\"} " << Counts.ByLatency[Class] << '\n';
      for (const auto &[Failure, Count] : Counts.Failures)
        Out << "zinnia_window_failures{" << Inside << ",result=\""
            << Failure.Result << "\",dc=\"" << Failure.DataCentre
            << "\",server=\"" << Failure.Server << "\"} " << Count << '\n';
    }
  }
  return Out.str();
}

} // namespace Report
