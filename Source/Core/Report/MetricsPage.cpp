#include "Report/MetricsPage.h"

#include <cstdlib>
#include <optional>
#include <sstream>

namespace Report {

namespace {

std::optional<MetricLine> parseLine(const std::string &Text) {
  const std::size_t Open = Text.find('{');
  const std::size_t Close = Text.rfind('}');
  if (Open == std::string::npos || Close == std::string::npos || Close < Open)
    return std::nullopt;
  MetricLine Line;
  Line.Name = Text.substr(0, Open);
  std::size_t At = Open + 1;
  while (At < Close) {
    const std::size_t Equals = Text.find("=\"", At);
    if (Equals == std::string::npos || Equals > Close)
      return std::nullopt;
    const std::size_t End = Text.find('"', Equals + 2);
    if (End == std::string::npos || End > Close)
      return std::nullopt;
    Line.Labels[Text.substr(At, Equals - At)] =
        Text.substr(Equals + 2, End - Equals - 2);
    At = End + 1;
    if (At < Close && Text[At] == ',')
      ++At;
  }
  const char *Number = Text.c_str() + Close + 1;
  char *Rest = nullptr;
  Line.Value = std::strtod(Number, &Rest);
  if (Rest == Number)
    return std::nullopt;
  return Line;
}

std::string label(const MetricLine &Line, const std::string &Name) {
  const auto Found = Line.Labels.find(Name);
  return Found == Line.Labels.end() ? "" : Found->second;
}

void addCalls(const MetricLine &Line, CallCounts &Counts) {
  for (std::size_t Class = 0; Class < OutcomeCount; ++Class)
    if (label(Line, "class") == outcomeName(static_cast<Outcome>(Class)))
      Counts.ByOutcome[Class] += static_cast<std::uint64_t>(Line.Value);
}

void addLatency(const MetricLine &Line, CallCounts &Counts) {
  const auto Class = static_cast<std::size_t>(
      std::strtoul(label(Line, "class").c_str(), nullptr, 10));
  if (Class < Counts.ByLatency.size())
    Counts.ByLatency[Class] += static_cast<std::uint64_t>(Line.Value);
}

void addFailure(const MetricLine &Line, CallCounts &Counts) {
  const FailureKey Key{std::atoi(label(Line, "result").c_str()),
                       label(Line, "dc"), label(Line, "server")};
  Counts.Failures[Key] += static_cast<std::uint64_t>(Line.Value);
}

} // namespace

std::vector<MetricLine> parseMetricsPage(const std::string &Page) {
  std::vector<MetricLine> Lines;
  std::istringstream In(Page);
  for (std::string Text; std::getline(In, Text);)
    if (const auto Line = parseLine(Text))
      Lines.push_back(*Line);
  return Lines;
}

void addWindows(const std::vector<MetricLine> &Lines,
                std::map<WindowKey, CallCounts> &Totals) {
  for (const MetricLine &Line : Lines) {
    if (Line.Name.rfind("zinnia_window_", 0) != 0)
      continue;
    CallCounts &Counts = Totals[{label(Line, "service"), label(Line, "kind"),
                                 label(Line, "window")}];
    if (Line.Name == "zinnia_window_calls")
      addCalls(Line, Counts);
    else if (Line.Name == "zinnia_window_latency")
      addLatency(Line, Counts);
    else if (Line.Name == "zinnia_window_failures")
      addFailure(Line, Counts);
  }
}

} // namespace Report
