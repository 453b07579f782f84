#include "Config/ObjectSetBuilder.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <tuple>

#include "Common/Error.h"

namespace Config {

using Common::ResultCode;

namespace {

constexpr int MaxAttempts = 10;
constexpr int MaxRedirects = 10;
constexpr int MaxBudgetPercent = 100;
constexpr int MaxPriority = 1000;
constexpr int MaxWeight = 1'000'000;
constexpr Common::Micros MaxDeadline{3'600'000'000};

bool isName(const std::string &Text) {
  if (Text.empty() || Text.size() > 64)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
  });
}

// Reads the keys of one object and notes what is wrong with them.
class KeyReader {
public:
  KeyReader(const Common::IniSection &Section,
            std::vector<Common::Fault> &Faults)
      : Section(Section), Faults(Faults) {}

  std::string name(const std::string &Key, bool Required) {
    const Common::IniEntry *Entry = find(Key, Required);
    if (Entry && !isName(Entry->Value))
      bad(*Entry, "a name of a-z, 0-9 and -");
    return Entry ? Entry->Value : "";
  }

  std::string text(const std::string &Key, bool Required,
                   const std::string &FirstCharacter) {
    const Common::IniEntry *Entry = find(Key, Required);
    if (Entry && Entry->Value.rfind(FirstCharacter, 0) != 0)
      bad(*Entry, "text that starts with " + FirstCharacter);
    return Entry ? Entry->Value : "";
  }

  // Choices[0] is the default of a key that is not required.
  std::string choice(const std::string &Key, bool Required,
                     const std::vector<std::string> &Choices) {
    const Common::IniEntry *Entry = find(Key, Required);
    if (!Entry)
      return Choices[0];
    if (std::find(Choices.begin(), Choices.end(), Entry->Value) ==
        Choices.end()) {
      std::string Allowed;
      for (const std::string &Each : Choices)
        Allowed += (Allowed.empty() ? "" : ", ") + Each;
      bad(*Entry, Allowed);
    }
    return Entry->Value;
  }

  int number(const std::string &Key, int Least, int Most, int Default) {
    const Common::IniEntry *Entry = find(Key, false);
    if (!Entry)
      return Default;
    int Value = 0;
    const char *End = Entry->Value.data() + Entry->Value.size();
    const auto [Rest, Failure] =
        std::from_chars(Entry->Value.data(), End, Value);
    if (Failure != std::errc() || Rest != End || Value < Least || Value > Most)
      bad(*Entry, "a whole number from " + std::to_string(Least) + " to " +
                      std::to_string(Most));
    return Value;
  }

  // "name:weight" parts, separated by spaces.
  std::vector<WeightedService> weights(const std::string &Key) {
    const Common::IniEntry *Entry = find(Key, false);
    std::vector<WeightedService> Parts;
    std::istringstream Words(Entry ? Entry->Value : "");
    for (std::string Word; Words >> Word;) {
      const std::size_t Colon = Word.find(':');
      const std::string Number =
          Colon == std::string::npos ? "" : Word.substr(Colon + 1);
      WeightedService Part{Word.substr(0, Colon), -1};
      std::from_chars(Number.data(), Number.data() + Number.size(),
                      Part.Weight);
      if (!isName(Part.Service) || Part.Weight < 0 || Part.Weight > MaxWeight)
        bad(*Entry, "service:weight parts with weights up to " +
                        std::to_string(MaxWeight));
      Parts.push_back(std::move(Part));
    }
    return Parts;
  }

  std::optional<Common::Micros> time(const std::string &Key, bool Required) {
    const Common::IniEntry *Entry = find(Key, Required);
    if (!Entry)
      return std::nullopt;
    const auto Value = Common::parseDuration(Entry->Value);
    if (!Value || Value->count() == 0 || *Value > MaxDeadline)
      bad(*Entry, "a time with unit (us, ms, s, m, h) above 0, up to " +
                      Common::formatDuration(MaxDeadline));
    return Value;
  }

  // Reports keys that nothing asked for, and keys given twice.
  void finish() {
    std::set<std::string> Seen;
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (!Known.contains(Entry.Key))
        add(ResultCode::ObjectUnknownKey, Entry.Line, Entry.Key);
      else if (!Seen.insert(Entry.Key).second)
        add(ResultCode::ObjectDuplicate, Entry.Line, Entry.Key);
    }
  }

private:
  const Common::IniEntry *find(const std::string &Key, bool Required) {
    Known.insert(Key);
    for (const Common::IniEntry &Entry : Section.Entries)
      if (Entry.Key == Key)
        return &Entry;
    if (Required)
      add(ResultCode::ObjectMissingKey, Section.Line, Key);
    return nullptr;
  }

  void bad(const Common::IniEntry &Entry, const std::string &Allowed) {
    add(ResultCode::ObjectBadValue, Entry.Line,
        Entry.Key + " = " + Entry.Value + "; allowed is " + Allowed);
  }

  void add(ResultCode Code, int Line, const std::string &Detail) {
    Faults.push_back(
        {Code, Section.File, Line, "[" + Section.Name + "] " + Detail});
  }

  const Common::IniSection &Section;
  std::vector<Common::Fault> &Faults;
  std::set<std::string> Known;
};

} // namespace

ObjectSetBuilder &ObjectSetBuilder::input(const std::string &File,
                                          const std::string &Text) {
  Common::IniDocument Document = Common::parseIni(File, Text);
  for (const int Line : Document.BadLines)
    Faults.push_back({ResultCode::ObjectSyntax, File, Line,
                      "allowed are [type name], key = value and ; comment"});
  for (Common::IniSection &Section : Document.Sections)
    Sections.push_back(std::move(Section));
  return *this;
}

ObjectSetBuilder &ObjectSetBuilder::origin(std::string Given) {
  Origin = std::move(Given);
  return *this;
}

template <class Object>
ObjectSetBuilder &
ObjectSetBuilder::addTyped(const std::string &Type,
                           std::map<std::string, Object> &Among, Object Given) {
  // Sources mostly give their objects in order.
  const std::size_t Before = Among.size();
  const auto Added =
      Among.try_emplace(Among.end(), Given.Name, std::move(Given));
  if (Among.size() == Before)
    addFault(ResultCode::ObjectDuplicate, Type + " " + Added->first,
             "is defined twice");
  return *this;
}

ObjectSetBuilder &ObjectSetBuilder::add(Service Given) {
  return addTyped("service", Result.Services, std::move(Given));
}

ObjectSetBuilder &ObjectSetBuilder::add(RetryRule Given) {
  return addTyped("retry", Result.RetryRules, std::move(Given));
}

ObjectSetBuilder &ObjectSetBuilder::add(RequestKind Given) {
  return addTyped("kind", Result.Kinds, std::move(Given));
}

ObjectSetBuilder &ObjectSetBuilder::add(Route Given) {
  return addTyped("route", Result.Routes, std::move(Given));
}

ObjectSetBuilder &ObjectSetBuilder::limits(const CallerLimits &Given) {
  Result.Limits = Given;
  return *this;
}

ObjectSetBuilder::Place
ObjectSetBuilder::placeOf(const std::string &Object) const {
  const auto Found = Places.find(Object);
  return Found == Places.end() ? Place{Origin, 0} : Found->second;
}

void ObjectSetBuilder::addFault(ResultCode Code, const std::string &Object,
                                const std::string &Detail) {
  const Place Where = placeOf(Object);
  Faults.push_back(
      {Code, Where.File, Where.Line, "[" + Object + "] " + Detail});
}

void ObjectSetBuilder::takeSection(const Common::IniSection &Section) {
  const std::size_t Space = Section.Name.find(' ');
  const std::string Type = Section.Name.substr(0, Space);
  const std::string Name =
      Space == std::string::npos ? "" : Section.Name.substr(Space + 1);
  const bool KnownType =
      Type == "service" || Type == "retry" || Type == "kind" || Type == "route";
  if (!KnownType || !isName(Name)) {
    Faults.push_back({ResultCode::ObjectUnknownSection, Section.File,
                      Section.Line,
                      "[" + Section.Name +
                          "]; allowed are service, route, kind and retry, "
                          "each with a name of a-z, 0-9 and -"});
    return;
  }
  if (Result.holds(Type, Name)) {
    const Place Earlier = placeOf(Section.Name);
    Faults.push_back({ResultCode::ObjectDuplicate, Section.File, Section.Line,
                      "[" + Section.Name + "] is defined at " + Earlier.File +
                          ":" + std::to_string(Earlier.Line) + " already"});
    return;
  }
  Places.emplace(Section.Name, Place{Section.File, Section.Line});
  if (Type == "service")
    takeService(Name, Section);
  else if (Type == "retry")
    takeRetryRule(Name, Section);
  else if (Type == "kind")
    takeKind(Name, Section);
  else
    takeRoute(Name, Section);
}

void ObjectSetBuilder::takeService(const std::string &Name,
                                   const Common::IniSection &Section) {
  KeyReader Keys(Section, Faults);
  Service Taken;
  Taken.Name = Name;
  Taken.Fallback = Keys.name("fallback", false);
  Taken.HealthPath = Keys.text("health-path", false, "/");
  Keys.finish();
  Result.Services[Name] = Taken;
}

void ObjectSetBuilder::takeRetryRule(const std::string &Name,
                                     const Common::IniSection &Section) {
  KeyReader Keys(Section, Faults);
  RetryRule Taken;
  Taken.Name = Name;
  Taken.Attempts = Keys.number("attempts", 1, MaxAttempts, Taken.Attempts);
  Taken.BudgetPercent =
      Keys.number("budget-percent", 0, MaxBudgetPercent, Taken.BudgetPercent);
  Taken.HedgeAfter = Keys.time("hedge-after", false);
  Taken.Redirects = Keys.number("redirects", 0, MaxRedirects, Taken.Redirects);
  Keys.finish();
  Result.RetryRules[Name] = Taken;
}

void ObjectSetBuilder::takeKind(const std::string &Name,
                                const Common::IniSection &Section) {
  KeyReader Keys(Section, Faults);
  RequestKind Taken;
  Taken.Name = Name;
  Taken.LongLane = Keys.choice("lane", false, {"short", "long"}) == "long";
  Taken.Idempotent = Keys.choice("idempotent", true, {"yes", "no"}) == "yes";
  Taken.Deadline = Keys.time("deadline", true).value_or(Taken.Deadline);
  Taken.TargetLatency =
      Keys.time("target-latency", false).value_or(Taken.TargetLatency);
  Taken.Priority = Keys.number("priority", 0, MaxPriority, Taken.Priority);
  Taken.NeedsKey = !Taken.Idempotent;
  Taken.Retry = Keys.name("retry", true);
  Keys.finish();
  Result.Kinds[Name] = Taken;
}

void ObjectSetBuilder::takeRoute(const std::string &Name,
                                 const Common::IniSection &Section) {
  KeyReader Keys(Section, Faults);
  Route Taken;
  Taken.Name = Name;
  Taken.Prefix = Keys.text("prefix", true, "/");
  const std::string Method =
      Keys.choice("method", false,
                  {"any", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"});
  Taken.Method = Method == "any" ? "" : Method;
  Taken.Host = Keys.text("host", false, "");
  Taken.Split = Keys.weights("split");
  Taken.Service = Keys.name("service", Taken.Split.empty());
  Taken.Kind = Keys.name("kind", true);
  Keys.finish();
  Result.Routes[Name] = Taken;
}

void ObjectSetBuilder::checkReferences() {
  const auto Need = [this](const char *OfType, const std::string &Of,
                           const char *Type, const auto &Among,
                           const std::string &Name) {
    if (!Name.empty() && !Among.contains(Name))
      addFault(ResultCode::ObjectDanglingName, OfType + (" " + Of),
               Type + (" = " + Name) + " is not in the set");
  };
  for (const auto &[Name, Each] : Result.Services)
    Need("service", Name, "service", Result.Services, Each.Fallback);
  for (const auto &[Name, Each] : Result.Kinds)
    Need("kind", Name, "retry", Result.RetryRules, Each.Retry);
  for (const auto &[Name, Each] : Result.Routes) {
    Need("route", Name, "service", Result.Services, Each.Service);
    for (const WeightedService &Part : Each.Split)
      Need("route", Name, "service", Result.Services, Part.Service);
    Need("route", Name, "kind", Result.Kinds, Each.Kind);
  }
}

void ObjectSetBuilder::checkFallbackCycles() {
  for (const auto &[Name, Start] : Result.Services) {
    std::set<std::string> Passed;
    std::string At = Name;
    while (!At.empty() && Passed.insert(At).second) {
      const auto Next = Result.Services.find(At);
      At = Next == Result.Services.end() ? "" : Next->second.Fallback;
    }
    if (At == Name)
      addFault(ResultCode::ObjectCycle, "service " + Name,
               "is its own fallback in the end");
  }
}

void ObjectSetBuilder::checkRouteConflicts() {
  using Matched =
      std::tuple<std::string_view, std::string_view, std::string_view>;
  std::vector<std::pair<Matched, std::string_view>> Owners;
  Owners.reserve(Result.Routes.size());
  for (const auto &[Name, Each] : Result.Routes)
    Owners.emplace_back(Matched(Each.Host, Each.Prefix, Each.Method), Name);
  std::sort(Owners.begin(), Owners.end());
  for (std::size_t Index = 1; Index < Owners.size(); ++Index)
    if (Owners[Index].first == Owners[Index - 1].first)
      addFault(ResultCode::ObjectConflict,
               "route " + std::string(Owners[Index].second),
               "matches the same requests as route " +
                   std::string(Owners[Index - 1].second));
}

void ObjectSetBuilder::checkSplits() {
  for (const auto &[Name, Each] : Result.Routes) {
    if (Each.Split.empty())
      continue;
    std::int64_t Sum = 0;
    for (const WeightedService &Part : Each.Split)
      Sum += Part.Weight;
    if (Sum <= 0)
      addFault(ResultCode::ObjectBadValue, "route " + Name,
               "split gives no service a weight above 0");
    if (!Each.Service.empty())
      addFault(ResultCode::ObjectConflict, "route " + Name,
               "has both service and split");
  }
}

void ObjectSetBuilder::check() {
  if (Checked)
    return;
  Checked = true;
  for (const Common::IniSection &Section : Sections)
    takeSection(Section);
  checkReferences();
  checkFallbackCycles();
  checkRouteConflicts();
  checkSplits();
  const bool IsEmpty = Result.Services.empty() && Result.RetryRules.empty() &&
                       Result.Kinds.empty() && Result.Routes.empty();
  if (IsEmpty && Faults.empty())
    Faults.push_back({ResultCode::SetEmpty, "set", 0, "no objects"});
  std::stable_sort(Faults.begin(), Faults.end(),
                   [](const Common::Fault &Left, const Common::Fault &Right) {
                     return std::pair(Left.File, Left.Line) <
                            std::pair(Right.File, Right.Line);
                   });
}

const std::vector<Common::Fault> &ObjectSetBuilder::faults() {
  check();
  return Faults;
}

ObjectSetPtr ObjectSetBuilder::build() {
  check();
  if (!Faults.empty())
    throw Common::Error(Faults.front().Code, Faults.front().text());
  const auto Built = std::make_shared<ObjectSet>(std::move(Result));
  Built->buildIndex();
  return Built;
}

} // namespace Config
