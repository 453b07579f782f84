#include "Config/SetDelta.h"

#include <algorithm>
#include <map>

namespace Config {

namespace {

using ObjectTexts = std::map<std::string, std::string, std::less<>>;

// Splits canonical text into objects, keyed by their heading.
ObjectTexts splitObjects(std::string_view Text) {
  ObjectTexts Result;
  while (!Text.empty()) {
    const std::size_t Next = Text.find("\n[");
    const std::string_view Object =
        Next == std::string_view::npos ? Text : Text.substr(0, Next + 1);
    const std::size_t HeadingEnd = Object.find(']');
    if (Object.front() == '[' && HeadingEnd != std::string_view::npos)
      Result.emplace(Object.substr(1, HeadingEnd - 1), Object);
    Text.remove_prefix(Object.size());
  }
  return Result;
}

} // namespace

std::size_t SetDelta::size() const {
  std::size_t Sum = Changed.size();
  for (const std::string &Heading : Removed)
    Sum += Heading.size();
  return Sum;
}

SetDelta makeDelta(std::string_view Base, std::string_view Newer) {
  const ObjectTexts Before = splitObjects(Base);
  const ObjectTexts After = splitObjects(Newer);
  SetDelta Result;
  for (const auto &[Name, Text] : After) {
    const auto Found = Before.find(Name);
    if (Found == Before.end() || Found->second != Text)
      Result.Changed += Text;
  }
  for (const auto &[Name, Text] : Before)
    if (!After.contains(Name))
      Result.Removed.push_back(Name);
  return Result;
}

std::string applyDelta(std::string_view Base, const SetDelta &Delta) {
  ObjectTexts Objects = splitObjects(Base);
  for (const std::string &Heading : Delta.Removed)
    Objects.erase(Heading);
  for (auto &[Name, Text] : splitObjects(Delta.Changed))
    Objects.insert_or_assign(Name, std::move(Text));
  std::string Result;
  for (const auto &[Name, Text] : Objects)
    Result += Text;
  return Result;
}

std::vector<std::string> SetDifference::all() const {
  std::vector<std::string> Result = Added;
  Result.insert(Result.end(), Removed.begin(), Removed.end());
  Result.insert(Result.end(), Changed.begin(), Changed.end());
  std::sort(Result.begin(), Result.end());
  return Result;
}

SetDifference compareSets(std::string_view Base, std::string_view Newer) {
  const ObjectTexts Before = splitObjects(Base);
  const SetDelta Delta = makeDelta(Base, Newer);
  SetDifference Result;
  Result.Removed = Delta.Removed;
  for (const auto &[Name, Text] : splitObjects(Delta.Changed)) {
    if (Before.contains(Name))
      Result.Changed.push_back(Name);
    else
      Result.Added.push_back(Name);
  }
  return Result;
}

} // namespace Config
