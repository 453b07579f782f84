#include "Programs/zinnia-load/LoadPlan.h"

#include <charconv>
#include <sstream>

#include "Common/Error.h"

namespace Load {

namespace {

std::optional<double> parsePositiveNumber(const std::string &Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Rest != End || !(Value > 0))
    return std::nullopt;
  return Value;
}

std::vector<double> weightsOf(const std::vector<CallClass> &Classes) {
  std::vector<double> Weights;
  Weights.reserve(Classes.size());
  for (const CallClass &Class : Classes)
    Weights.push_back(Class.Weight);
  return Weights;
}

} // namespace

CallClass parseCallClass(const std::string &Text) {
  std::istringstream Words(Text);
  CallClass Result;
  std::string Weight;
  std::string Extra;
  Words >> Result.Path >> Result.Query >> Weight;
  const auto Value = parsePositiveNumber(Weight);
  if (!Value || Words >> Extra)
    throw Common::Error(Common::ResultCode::UsageError,
                        Text + " is not of the form PATH QUERY WEIGHT");
  Result.Weight = *Value;
  return Result;
}

Swing parseSwing(const std::string &Text) {
  const std::size_t At = Text.find('@');
  const std::size_t Plus = Text.find('+');
  if (At != std::string::npos && Plus != std::string::npos && At < Plus) {
    const auto Factor = parsePositiveNumber(Text.substr(0, At));
    const auto Start =
        Common::parseDuration(Text.substr(At + 1, Plus - At - 1));
    const auto Length = Common::parseDuration(Text.substr(Plus + 1));
    if (Factor && Start && Length)
      return {*Factor, *Start, *Length};
  }
  throw Common::Error(
      Common::ResultCode::UsageError,
      Text + " is not of the form N@START+LENGTH, such as 8@5s+3s");
}

LoadPlan::LoadPlan(double CallsPerSecond, std::vector<Swing> Swings,
                   std::vector<CallClass> Classes, std::uint64_t Seed)
    : CallsPerSecond(CallsPerSecond), Swings(std::move(Swings)),
      Classes(std::move(Classes)), Random(Seed) {
  const std::vector<double> Weights = weightsOf(this->Classes);
  Draw =
      std::discrete_distribution<std::size_t>(Weights.begin(), Weights.end());
}

Common::Duration LoadPlan::intervalAfter(Common::Duration SinceStart) const {
  double Rate = CallsPerSecond;
  for (const Swing &Current : Swings)
    if (SinceStart >= Current.Start &&
        SinceStart < Current.Start + Current.Length)
      Rate *= Current.Factor;
  return std::chrono::duration_cast<Common::Duration>(
      std::chrono::duration<double>(1.0 / Rate));
}

std::size_t LoadPlan::drawClass() { return Draw(Random); }

} // namespace Load
