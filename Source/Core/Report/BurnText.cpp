#include <cstdio>
#include <sstream>

#include "Report/BurnReport.h"

namespace Report {

namespace {

constexpr std::size_t MaxFailuresShown = 10;

const char *alarmName(BurnAlarm Alarm) {
  switch (Alarm) {
  case BurnAlarm::None:
    return "ok";
  case BurnAlarm::Slow:
    return "SLOW BURN";
  case BurnAlarm::Fast:
    return "FAST BURN";
  }
  return "";
}

std::string formatFixed(double Value, int Digits) {
  char Text[64];
  std::snprintf(Text, sizeof Text, "%.*f", Digits, Value);
  return Text;
}

std::string failureName(const FailureKey &Key) {
  std::string Name = std::to_string(Key.Result);
  if (Key.Result < 500 || Key.Result > 599)
    Name += " " + std::string(Common::resultCodeName(
                      static_cast<Common::ResultCode>(Key.Result)));
  return Name;
}

std::string escapeHtml(const std::string &Text) {
  std::string Result;
  for (const char Character : Text) {
    if (Character == '<')
      Result += "&lt;";
    else if (Character == '&')
      Result += "&amp;";
    else if (Character == '"')
      Result += "&quot;";
    else
      Result += Character;
  }
  return Result;
}

std::string targetText(const Objective &Goal) {
  std::string Text = formatFixed(Goal.TargetShare * 100, 3) + "% good";
  if (Goal.LatencyLimit)
    Text += " within " + Common::formatDuration(*Goal.LatencyLimit);
  return Text;
}

// One bar per window; the line marks a rate of 1. Bars are cut off at TopRate.
std::string burnPlot(const ObjectiveBurn &Burn) {
  constexpr int BarWidth = 60;
  constexpr int Gap = 20;
  constexpr int Height = 120;
  constexpr double TopRate = 20;
  std::ostringstream Out;
  Out << "<svg width='360' height='160' role='img'>";
  int BarX = Gap;
  for (const WindowBurn &Window : Burn.Windows) {
    const double BarHeight = std::min(Window.Rate, TopRate) / TopRate * Height;
    const char *Colour = Window.Rate >= 14.4 ? "#c0392b"
                         : Window.Rate >= 6  ? "#e67e22"
                         : Window.Rate >= 1  ? "#f1c40f"
                                             : "#27ae60";
    Out << "<rect x='" << BarX << "' y='" << formatFixed(Height - BarHeight, 1)
        << "' width='" << BarWidth << "' height='"
        << formatFixed(std::max(BarHeight, 1.0), 1) << "' fill='" << Colour
        << "'/>"
        << "<text x='" << BarX << "' y='" << Height + 15 << "'>"
        << Window.Window << "</text><text x='" << BarX << "' y='" << Height + 32
        << "'>" << formatFixed(Window.Rate, 2) << "</text>";
    BarX += BarWidth + Gap;
  }
  const double RateOneY = Height - Height / TopRate;
  Out << "<line x1='0' x2='340' y1='" << RateOneY << "' y2='" << RateOneY
      << "' stroke='#333' stroke-dasharray='4'/></svg>";
  return Out.str();
}

} // namespace

std::string burnText(const BurnReport &Report) {
  std::ostringstream Out;
  for (const ObjectiveBurn &Burn : Report.Objectives) {
    Out << Burn.Goal.Name << ": " << alarmName(Burn.Alarm) << "  ("
        << targetText(Burn.Goal) << ")\n  window      calls        bad  "
        << "burn rate\n";
    for (const WindowBurn &Window : Burn.Windows) {
      char Line[128];
      std::snprintf(Line, sizeof Line, "  %-6s %10llu %10llu %10.2f\n",
                    Window.Window.c_str(),
                    static_cast<unsigned long long>(Window.Calls),
                    static_cast<unsigned long long>(Window.Bad), Window.Rate);
      Out << Line;
    }
    Out << "  budget of the last 6h left: "
        << formatFixed(Burn.BudgetLeft * 100, 1) << "%\n";
    if (Burn.SlowCalls > 0)
      Out << "  burned by slow answers: " << Burn.SlowCalls << "\n";
    for (std::size_t Index = 0;
         Index < std::min(Burn.Failures.size(), MaxFailuresShown); ++Index) {
      const auto &[Key, Count] = Burn.Failures[Index];
      Out << "  burned by " << failureName(Key) << ", data centre "
          << (Key.DataCentre.empty() ? "-" : Key.DataCentre)
          << ", backend server " << (Key.Server.empty() ? "-" : Key.Server)
          << ": " << Count << "\n";
    }
  }
  Out << "nodes that answered: " << Report.Answered.size() << "\n";
  for (const std::string &Node : Report.Unreachable)
    Out << "604 NodeUnreachable: " << Node << "\n";
  return Out.str();
}

std::string burnPage(const BurnReport &Report) {
  std::ostringstream Out;
  Out << "<!doctype html><html lang='en'><meta charset='utf-8'>"
         "<title>Service-level burn</title><style>"
         "body{font:14px sans-serif;margin:2em;max-width:60em}"
         "svg text{font:12px sans-serif}"
         "td,th{padding:2px 12px;text-align:left;border-bottom:1px solid #ddd}"
         "section{margin-bottom:2.5em}</style><h1>Service-level burn</h1>";
  if (!Report.Unreachable.empty()) {
    Out << "<p><b>Without the nodes that did not answer:</b> ";
    for (const std::string &Node : Report.Unreachable)
      Out << escapeHtml(Node) << " ";
    Out << "</p>";
  }
  for (const ObjectiveBurn &Burn : Report.Objectives) {
    Out << "<section><h2>" << escapeHtml(Burn.Goal.Name) << ": "
        << alarmName(Burn.Alarm) << "</h2><p>"
        << escapeHtml(targetText(Burn.Goal)) << "; budget of the last 6h left: "
        << formatFixed(Burn.BudgetLeft * 100, 1) << "%</p>" << burnPlot(Burn)
        << "<table><tr><th>result<th>data centre<th>backend server<th>calls";
    if (Burn.SlowCalls > 0)
      Out << "<tr><td>slow<td>-<td>-<td>" << Burn.SlowCalls;
    for (std::size_t Index = 0;
         Index < std::min(Burn.Failures.size(), MaxFailuresShown); ++Index) {
      const auto &[Key, Count] = Burn.Failures[Index];
      Out << "<tr><td>" << escapeHtml(failureName(Key)) << "<td>"
          << escapeHtml(Key.DataCentre) << "<td>" << escapeHtml(Key.Server)
          << "<td>" << Count;
    }
    Out << "</table></section>";
  }
  Out << "<p>" << Report.Answered.size() << " nodes answered.</p></html>\n";
  return Out.str();
}

} // namespace Report
