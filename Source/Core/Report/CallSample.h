#pragma once

#include <string>

#include "Common/ResultCode.h"
#include "Common/Time.h"

namespace Report {

// How one call ended, as its caller saw it.
struct CallSample {
  std::string Service;
  std::string Kind;
  Common::ResultCode Result = Common::ResultCode::Ok;
  int HttpStatus = 0;
  // Where it was served; empty when no backend server was reached.
  std::string DataCentre;
  std::string Server;
  Common::Micros Latency{0};
  int Attempts = 0;
};

// Classes by which service levels count calls.
enum class Outcome { Good, ServerError, NotRun, Unknown };
constexpr std::size_t OutcomeCount = 4;

Outcome outcomeOf(const CallSample &Sample);
std::string_view outcomeName(Outcome Class);

} // namespace Report
