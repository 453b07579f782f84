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

// Services and kinds come from the set in force. The limit bounds the page also
// for requests that match none of them.
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
  if (SeriesByKey.size() >= MaxSeries && !SeriesByKey.contains(Key))
    Key = {"other", "other"};
  std::unique_ptr<Series> &Entry = SeriesByKey[Key];
  if (!Entry)
    Entry = std::make_unique<Series>();
  ++Entry->ByResult[Common::resultCodeNumber(Sample.Result)];
  Entry->Attempts += static_cast<std::uint64_t>(Sample.Attempts);
  if (Sample.Result == Common::ResultCode::Ok)
    Entry->Latency(static_cast<double>(Sample.Latency.count()));
  Entry->Window.record(Sample, Now);
}

std::string CallMetrics::page(Common::SteadyTime Now) const {
  std::ostringstream Out;
  for (const auto &[Key, Values] : SeriesByKey) {
    const std::string Labels = labels(Key.first, Key.second);
    for (const auto &[Result, Count] : Values->ByResult)
      Out << "zinnia_calls_total{" << Labels << ",result=\"" << Result << "\"} "
          << Count << '\n';
    Out << "zinnia_attempts_total{" << Labels << "} " << Values->Attempts
        << '\n';
    if (Acc::count(Values->Latency) > 0) {
      for (const double Probability : Quantiles)
        Out << "zinnia_call_latency_us{" << Labels << ",quantile=\""
            << Probability << "\"} "
            << Acc::quantile(Values->Latency,
                             Acc::quantile_probability = Probability)
            << '\n';
      Out << "zinnia_call_latency_us_max{" << Labels << "} "
          << Acc::max(Values->Latency) << '\n';
    }
    for (const NamedWindow &Window : BurnWindows) {
      const CallCounts Counts = Values->Window.last(Window.Length, Now);
      const std::string WindowLabels =
          Labels + ",window=\"" + Window.Name + "\"";
      for (std::size_t Class = 0; Class < OutcomeCount; ++Class)
        Out << "zinnia_window_calls{" << WindowLabels << ",class=\""
            << outcomeName(static_cast<Outcome>(Class)) << "\"} "
            << Counts.ByOutcome[Class] << '\n';
      for (std::size_t Class = 0; Class < Counts.ByLatency.size(); ++Class)
        if (Counts.ByLatency[Class] > 0)
          Out << "zinnia_window_latency{" << WindowLabels << ",class=\""
              << Class << "\"} " << Counts.ByLatency[Class] << '\n';
      for (const auto &[Failure, Count] : Counts.Failures)
        Out << "zinnia_window_failures{" << WindowLabels << ",result=\""
            << Failure.Result << "\",dc=\"" << Failure.DataCentre
            << "\",server=\"" << Failure.Server << "\"} " << Count << '\n';
    }
  }
  return Out.str();
}

} // namespace Report
