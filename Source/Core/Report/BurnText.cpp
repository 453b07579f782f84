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

std::string fixed(double Value, int Digits) {
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

std::string escaped(const std::string &Text) {
  std::string Result;
  for (const char Each : Text) {
    if (Each == '<')
      Result += "&lt;";
    else if (Each == '&')
      Result += "&amp;";
    else if (Each == '"')
      Result += "&quot;";
    else
      Result += Each;
  }
  return Result;
}

std::string targetText(const Objective &Wanted) {
  std::string Text = fixed(Wanted.TargetShare * 100, 3) + "% good";
  if (Wanted.LatencyLimit)
    Text += " within " + Common::formatDuration(*Wanted.LatencyLimit);
  return Text;
}

// One bar a window; the line marks a rate of 1. Rates are cut at the top.
std::string burnPlot(const ObjectiveBurn &Burn) {
  constexpr int BarWidth = 60;
  constexpr int Gap = 20;
  constexpr int Height = 120;
  constexpr double TopRate = 20;
  std::ostringstream Out;
  Out << "<svg width='360' height='160' role='img'>";
  int Left = Gap;
  for (const WindowBurn &Each : Burn.Windows) {
    const double Shown = std::min(Each.Rate, TopRate) / TopRate * Height;
    const char *Colour = Each.Rate >= 14.4 ? "#c0392b"
                         : Each.Rate >= 6  ? "#e67e22"
                         : Each.Rate >= 1  ? "#f1c40f"
                                           : "#27ae60";
    Out << "<rect x='" << Left << "' y='" << fixed(Height - Shown, 1)
        << "' width='" << BarWidth << "' height='"
        << fixed(std::max(Shown, 1.0), 1) << "' fill='" << Colour << "'/>"
        << "<text x='" << Left << "' y='" << Height + 15 << "'>" << Each.Window
        << "</text><text x='" << Left << "' y='" << Height + 32 << "'>"
        << fixed(Each.Rate, 2) << "</text>";
    Left += BarWidth + Gap;
  }
  const double One = Height - Height / TopRate;
  Out << "<line x1='0' x2='340' y1='" << One << "' y2='" << One
      << "' stroke='#333' stroke-dasharray='4'/></svg>";
  return Out.str();
}

} // namespace

std::string burnText(const BurnReport &Report) {
  std::ostringstream Out;
  for (const ObjectiveBurn &Each : Report.Objectives) {
    Out << Each.Wanted.Name << ": " << alarmName(Each.Alarm) << "  ("
        << targetText(Each.Wanted) << ")\n  window      calls        bad  "
        << "burn rate\n";
    for (const WindowBurn &Window : Each.Windows) {
      char Line[128];
      std::snprintf(Line, sizeof Line, "  %-6s %10llu %10llu %10.2f\n",
                    Window.Window.c_str(),
                    static_cast<unsigned long long>(Window.Calls),
                    static_cast<unsigned long long>(Window.Bad), Window.Rate);
      Out << Line;
    }
    Out << "  budget of the last 6h left: " << fixed(Each.BudgetLeft * 100, 1)
        << "%\n";
    if (Each.Slow > 0)
      Out << "  burned by slow answers: " << Each.Slow << "\n";
    for (std::size_t Index = 0;
         Index < std::min(Each.Failures.size(), MaxFailuresShown); ++Index) {
      const auto &[Key, Count] = Each.Failures[Index];
      Out << "  burned by " << failureName(Key) << ", data centre "
          << (Key.DataCentre.empty() ? "-" : Key.DataCentre)
          << ", backend server " << (Key.Server.empty() ? "-" : Key.Server)
          << ": " << Count << "\n";
    }
  }
  Out << "nodes that answered: " << Report.Answered.size() << "\n";
  for (const std::string &Node : Report.Silent)
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
  if (!Report.Silent.empty()) {
    Out << "<p><b>Without the nodes that did not answer:</b> ";
    for (const std::string &Node : Report.Silent)
      Out << escaped(Node) << " ";
    Out << "</p>";
  }
  for (const ObjectiveBurn &Each : Report.Objectives) {
    Out << "<section><h2>" << escaped(Each.Wanted.Name) << ": "
        << alarmName(Each.Alarm) << "</h2><p>"
        << escaped(targetText(Each.Wanted))
        << "; budget of the last 6h left: " << fixed(Each.BudgetLeft * 100, 1)
        << "%</p>" << burnPlot(Each)
        << "<table><tr><th>result<th>data centre<th>backend server<th>calls";
    if (Each.Slow > 0)
      Out << "<tr><td>slow<td>-<td>-<td>" << Each.Slow;
    for (std::size_t Index = 0;
         Index < std::min(Each.Failures.size(), MaxFailuresShown); ++Index) {
      const auto &[Key, Count] = Each.Failures[Index];
      Out << "<tr><td>" << escaped(failureName(Key)) << "<td>"
          << escaped(Key.DataCentre) << "<td>" << escaped(Key.Server) << "<td>"
          << Count;
    }
    Out << "</table></section>";
  }
  Out << "<p>" << Report.Answered.size() << " nodes answered.</p></html>\n";
  return Out.str();
}

} // namespace Report
