#pragma once

#include <string>

#include "Common/ResultCode.h"
#include "Common/Time.h"

namespace Report {

// The outcome of one call as its caller saw it.
struct CallSample {
  std::string Service;
  std::string Kind;
  Common::ResultCode Result = Common::ResultCode::Ok;
  int HttpStatus = 0;
  // Where the call was served; both are empty if no backend server was reached.
  std::string DataCentre;
  std::string Server;
  Common::Micros Latency{0};
  int Attempts = 0;
};

// The outcome classes that service-level objectives distinguish.
enum class Outcome { Good, ServerError, NotRun, Unknown };
constexpr std::size_t OutcomeCount = 4;

Outcome classifyOutcome(const CallSample &Sample);
std::string_view outcomeName(Outcome Class);

} // namespace Report
