#include "Report/CallSample.h"

namespace Report {

namespace {

constexpr int FirstServerErrorStatus = 500;

} // namespace

Outcome classifyOutcome(const CallSample &Sample) {
  if (Sample.Result == Common::ResultCode::Ok)
    return Sample.HttpStatus >= FirstServerErrorStatus ? Outcome::ServerError
                                                       : Outcome::Good;
  return Common::isNotRun(Sample.Result) ? Outcome::NotRun : Outcome::Unknown;
}

std::string_view outcomeName(Outcome Class) {
  switch (Class) {
  case Outcome::Good:
    return "good";
  case Outcome::ServerError:
    return "server-error";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "";
}

} // namespace Report
