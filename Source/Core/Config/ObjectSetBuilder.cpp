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
constexpr int MaxQuota = 1'000'000;
constexpr int MaxWeight = 1'000'000;
constexpr Common::Micros MaxDeadline{3'600'000'000};

bool isName(const std::string &Text) {
  if (Text.empty() || Text.size() > 64)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
  });
}

// Parses the keys of one object and reports faults in them.
class KeyReader {
public:
  KeyReader(const Common::IniSection &Section,
            std::vector<Common::Fault> &Faults)
      : Section(Section), Faults(Faults) {}

  std::string name(const std::string &Key, bool Required) {
    const Common::IniEntry *Entry = find(Key, Required);
    if (Entry && !isName(Entry->Value))
      addBadValue(*Entry, "a name of a-z, 0-9 and -");
    return Entry ? Entry->Value : "";
  }

  std::string text(const std::string &Key, bool Required,
                   const std::string &FirstCharacter) {
    const Common::IniEntry *Entry = find(Key, Required);
    if (Entry && Entry->Value.rfind(FirstCharacter, 0) != 0)
      addBadValue(*Entry, "text that starts with " + FirstCharacter);
    return Entry ? Entry->Value : "";
  }

  // Choices[0] is the default for a missing key.
  std::string choice(const std::string &Key, bool Required,
                     const std::vector<std::string> &Choices) {
    const Common::IniEntry *Entry = find(Key, Required);
    if (!Entry)
      return Choices[0];
    if (std::find(Choices.begin(), Choices.end(), Entry->Value) ==
        Choices.end()) {
      std::string Allowed;
      for (const std::string &Choice : Choices)
        Allowed += (Allowed.empty() ? "" : ", ") + Choice;
      addBadValue(*Entry, Allowed);
    }
    return Entry->Value;
  }

  int number(const std::string &Key, int Min, int Max, int Default) {
    const Common::IniEntry *Entry = find(Key, false);
    if (!Entry)
      return Default;
    int Value = 0;
    const char *End = Entry->Value.data() + Entry->Value.size();
    const auto [ParseEnd, ParseError] =
        std::from_chars(Entry->Value.data(), End, Value);
    if (ParseError != std::errc() || ParseEnd != End || Value < Min ||
        Value > Max)
      addBadValue(*Entry, "a whole number from " + std::to_string(Min) +
                              " to " + std::to_string(Max));
    return Value;
  }

  // Parses words separated by spaces. Faults don't quote the words, which may
  // be secrets.
  std::vector<std::string> words(const std::string &Key) {
    const Common::IniEntry *Entry = find(Key, true);
    std::vector<std::string> Words;
    std::istringstream Parts(Entry ? Entry->Value : "");
    for (std::string Part; Parts >> Part;)
      Words.push_back(std::move(Part));
    return Words;
  }

  // Parses "name:weight" parts separated by spaces.
  std::vector<WeightedService> weights(const std::string &Key) {
    const Common::IniEntry *Entry = find(Key, false);
    std::vector<WeightedService> Targets;
    std::istringstream Parts(Entry ? Entry->Value : "");
    for (std::string Part; Parts >> Part;) {
      const std::size_t Colon = Part.find(':');
      const std::string WeightText =
          Colon == std::string::npos ? "" : Part.substr(Colon + 1);
      WeightedService Target{Part.substr(0, Colon), -1};
      std::from_chars(WeightText.data(), WeightText.data() + WeightText.size(),
                      Target.Weight);
      if (!isName(Target.Service) || Target.Weight < 0 ||
          Target.Weight > MaxWeight)
        addBadValue(*Entry, "service:weight parts with weights up to " +
                                std::to_string(MaxWeight));
      Targets.push_back(std::move(Target));
    }
    return Targets;
  }

  std::optional<Common::Micros> time(const std::string &Key, bool Required) {
    const Common::IniEntry *Entry = find(Key, Required);
    if (!Entry)
      return std::nullopt;
    const auto Value = Common::parseDuration(Entry->Value);
    if (!Value || Value->count() == 0 || *Value > MaxDeadline)
      addBadValue(*Entry, "a time with unit (us, ms, s, m, h) above 0, up to " +
                              Common::formatDuration(MaxDeadline));
    return Value;
  }

  // Reports unknown keys and keys that occur twice.
  void finish() {
    std::set<std::string> Seen;
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (!KnownKeys.contains(Entry.Key))
        add(ResultCode::ObjectUnknownKey, Entry.Line, Entry.Key);
      else if (!Seen.insert(Entry.Key).second)
        add(ResultCode::ObjectDuplicate, Entry.Line, Entry.Key);
    }
  }

private:
  const Common::IniEntry *find(const std::string &Key, bool Required) {
    KnownKeys.insert(Key);
    for (const Common::IniEntry &Entry : Section.Entries)
      if (Entry.Key == Key)
        return &Entry;
    if (Required)
      add(ResultCode::ObjectMissingKey, Section.Line, Key);
    return nullptr;
  }

  void addBadValue(const Common::IniEntry &Entry, const std::string &Allowed) {
    add(ResultCode::ObjectBadValue, Entry.Line,
        Entry.Key + " = " + Entry.Value + "; allowed is " + Allowed);
  }

  void add(ResultCode Code, int Line, const std::string &Detail) {
    Faults.push_back(
        {Code, Section.File, Line, "[" + Section.Name + "] " + Detail});
  }

  const Common::IniSection &Section;
  std::vector<Common::Fault> &Faults;
  std::set<std::string> KnownKeys;
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

ObjectSetBuilder &ObjectSetBuilder::origin(std::string NewOrigin) {
  Origin = std::move(NewOrigin);
  return *this;
}

template <class Object>
ObjectSetBuilder &
ObjectSetBuilder::addTyped(const std::string &Type,
                           std::map<std::string, Object> &Objects,
                           Object Definition) {
  // Sources usually add their objects in order, so the end is the best hint.
  const std::size_t Before = Objects.size();
  const auto Added = Objects.try_emplace(Objects.end(), Definition.Name,
                                         std::move(Definition));
  if (Objects.size() == Before)
    addFault(ResultCode::ObjectDuplicate, Type + " " + Added->first,
             "is defined twice");
  return *this;
}

ObjectSetBuilder &ObjectSetBuilder::add(Service Definition) {
  return addTyped("service", Result.Services, std::move(Definition));
}

ObjectSetBuilder &ObjectSetBuilder::add(RetryRule Definition) {
  return addTyped("retry", Result.RetryRules, std::move(Definition));
}

ObjectSetBuilder &ObjectSetBuilder::add(RequestKind Definition) {
  return addTyped("kind", Result.Kinds, std::move(Definition));
}

ObjectSetBuilder &ObjectSetBuilder::add(Route Definition) {
  return addTyped("route", Result.Routes, std::move(Definition));
}

ObjectSetBuilder &ObjectSetBuilder::add(Tenant Definition) {
  return addTyped("tenant", Result.Tenants, std::move(Definition));
}

ObjectSetBuilder &ObjectSetBuilder::limits(const CallerLimits &Limits) {
  Result.Limits = Limits;
  return *this;
}

ObjectSetBuilder::Location
ObjectSetBuilder::locationOf(const std::string &Object) const {
  const auto Found = Locations.find(Object);
  return Found == Locations.end() ? Location{Origin, 0} : Found->second;
}

void ObjectSetBuilder::addFault(ResultCode Code, const std::string &Object,
                                const std::string &Detail) {
  const Location DefinedAt = locationOf(Object);
  Faults.push_back(
      {Code, DefinedAt.File, DefinedAt.Line, "[" + Object + "] " + Detail});
}

void ObjectSetBuilder::parseSection(const Common::IniSection &Section) {
  const std::size_t Space = Section.Name.find(' ');
  const std::string Type = Section.Name.substr(0, Space);
  const std::string Name =
      Space == std::string::npos ? "" : Section.Name.substr(Space + 1);
  const bool KnownType = Type == "service" || Type == "retry" ||
                         Type == "kind" || Type == "route" || Type == "tenant";
  if (!KnownType || !isName(Name)) {
    Faults.push_back({ResultCode::ObjectUnknownSection, Section.File,
                      Section.Line,
                      "[" + Section.Name +
                          "]; allowed are service, route, kind, retry and "
                          "tenant, each with a name of a-z, 0-9 and -"});
    return;
  }
  if (Result.contains(Type, Name)) {
    const Location First = locationOf(Section.Name);
    Faults.push_back({ResultCode::ObjectDuplicate, Section.File, Section.Line,
                      "[" + Section.Name + "] is defined at " + First.File +
                          ":" + std::to_string(First.Line) + " already"});
    return;
  }
  Locations.emplace(Section.Name, Location{Section.File, Section.Line});
  if (Type == "service")
    parseService(Name, Section);
  else if (Type == "retry")
    parseRetryRule(Name, Section);
  else if (Type == "kind")
    parseKind(Name, Section);
  else if (Type == "route")
    parseRoute(Name, Section);
  else
    parseTenant(Name, Section);
}

void ObjectSetBuilder::parseTenant(const std::string &Name,
                                   const Common::IniSection &Section) {
  constexpr int Unset = -1;
  KeyReader Keys(Section, Faults);
  Tenant Parsed;
  Parsed.Name = Name;
  Parsed.Keys = Keys.words("keys");
  const int Priority = Keys.number("priority", 0, MaxPriority, Unset);
  if (Priority != Unset)
    Parsed.Priority = Priority;
  Parsed.RatePerSecond = Keys.number("rate", 0, MaxQuota, 0);
  Parsed.Burst = Keys.number("burst", 0, MaxQuota, 0);
  Keys.finish();
  Result.Tenants[Name] = Parsed;
}

void ObjectSetBuilder::parseService(const std::string &Name,
                                    const Common::IniSection &Section) {
  KeyReader Keys(Section, Faults);
  Service Parsed;
  Parsed.Name = Name;
  Parsed.Fallback = Keys.name("fallback", false);
  Parsed.HealthPath = Keys.text("health-path", false, "/");
  Keys.finish();
  Result.Services[Name] = Parsed;
}

void ObjectSetBuilder::parseRetryRule(const std::string &Name,
                                      const Common::IniSection &Section) {
  KeyReader Keys(Section, Faults);
  RetryRule Parsed;
  Parsed.Name = Name;
  Parsed.Attempts = Keys.number("attempts", 1, MaxAttempts, Parsed.Attempts);
  Parsed.BudgetPercent =
      Keys.number("budget-percent", 0, MaxBudgetPercent, Parsed.BudgetPercent);
  Parsed.HedgeAfter = Keys.time("hedge-after", false);
  Parsed.Redirects =
      Keys.number("redirects", 0, MaxRedirects, Parsed.Redirects);
  Keys.finish();
  Result.RetryRules[Name] = Parsed;
}

void ObjectSetBuilder::parseKind(const std::string &Name,
                                 const Common::IniSection &Section) {
  KeyReader Keys(Section, Faults);
  RequestKind Parsed;
  Parsed.Name = Name;
  Parsed.LongLane = Keys.choice("lane", false, {"short", "long"}) == "long";
  Parsed.Idempotent = Keys.choice("idempotent", true, {"yes", "no"}) == "yes";
  Parsed.Deadline = Keys.time("deadline", true).value_or(Parsed.Deadline);
  Parsed.TargetLatency =
      Keys.time("target-latency", false).value_or(Parsed.TargetLatency);
  Parsed.Priority = Keys.number("priority", 0, MaxPriority, Parsed.Priority);
  Parsed.NeedsKey = !Parsed.Idempotent;
  Parsed.Retry = Keys.name("retry", true);
  Keys.finish();
  Result.Kinds[Name] = Parsed;
}

void ObjectSetBuilder::parseRoute(const std::string &Name,
                                  const Common::IniSection &Section) {
  KeyReader Keys(Section, Faults);
  Route Parsed;
  Parsed.Name = Name;
  Parsed.Prefix = Keys.text("prefix", true, "/");
  const std::string Method =
      Keys.choice("method", false,
                  {"any", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"});
  Parsed.Method = Method == "any" ? "" : Method;
  Parsed.Host = Keys.text("host", false, "");
  Parsed.Split = Keys.weights("split");
  Parsed.Service = Keys.name("service", Parsed.Split.empty());
  Parsed.Kind = Keys.name("kind", true);
  Parsed.Anonymous = Keys.choice("anonymous", false, {"no", "yes"}) == "yes";
  Keys.finish();
  Result.Routes[Name] = Parsed;
}

void ObjectSetBuilder::checkReferences() {
  const auto RequireDefined =
      [this](const char *OwnerType, const std::string &Owner, const char *Type,
             const auto &Objects, const std::string &Name) {
        if (!Name.empty() && !Objects.contains(Name))
          addFault(ResultCode::ObjectDanglingName, OwnerType + (" " + Owner),
                   Type + (" = " + Name) + " is not defined in the set");
      };
  for (const auto &[Name, Definition] : Result.Services)
    RequireDefined("service", Name, "service", Result.Services,
                   Definition.Fallback);
  for (const auto &[Name, Definition] : Result.Kinds)
    RequireDefined("kind", Name, "retry", Result.RetryRules, Definition.Retry);
  for (const auto &[Name, Definition] : Result.Routes) {
    RequireDefined("route", Name, "service", Result.Services,
                   Definition.Service);
    for (const WeightedService &Target : Definition.Split)
      RequireDefined("route", Name, "service", Result.Services, Target.Service);
    RequireDefined("route", Name, "kind", Result.Kinds, Definition.Kind);
  }
}

void ObjectSetBuilder::checkFallbackCycles() {
  for (const auto &[Name, Start] : Result.Services) {
    std::set<std::string> Visited;
    std::string Current = Name;
    while (!Current.empty() && Visited.insert(Current).second) {
      const auto Next = Result.Services.find(Current);
      Current = Next == Result.Services.end() ? "" : Next->second.Fallback;
    }
    if (Current == Name)
      addFault(ResultCode::ObjectCycle, "service " + Name,
               "is part of a fallback cycle");
  }
}

void ObjectSetBuilder::checkRouteConflicts() {
  using MatchKey =
      std::tuple<std::string_view, std::string_view, std::string_view>;
  std::vector<std::pair<MatchKey, std::string_view>> Owners;
  Owners.reserve(Result.Routes.size());
  for (const auto &[Name, Definition] : Result.Routes)
    Owners.emplace_back(
        MatchKey(Definition.Host, Definition.Prefix, Definition.Method), Name);
  std::sort(Owners.begin(), Owners.end());
  for (std::size_t Index = 1; Index < Owners.size(); ++Index)
    if (Owners[Index].first == Owners[Index - 1].first)
      addFault(ResultCode::ObjectConflict,
               "route " + std::string(Owners[Index].second),
               "matches the same requests as route " +
                   std::string(Owners[Index - 1].second));
}

void ObjectSetBuilder::checkSplits() {
  for (const auto &[Name, Definition] : Result.Routes) {
    if (Definition.Split.empty())
      continue;
    std::int64_t Sum = 0;
    for (const WeightedService &Target : Definition.Split)
      Sum += Target.Weight;
    if (Sum <= 0)
      addFault(ResultCode::ObjectBadValue, "route " + Name,
               "split gives no service a weight above 0");
    if (!Definition.Service.empty())
      addFault(ResultCode::ObjectConflict, "route " + Name,
               "has both service and split");
  }
}

// The faults name tenants and never keys, which are secrets.
void ObjectSetBuilder::checkTenants() {
  std::map<std::string_view, std::string_view> Owners;
  for (const auto &[Name, Definition] : Result.Tenants) {
    if (Definition.RatePerSecond < 0 || Definition.Burst < 0)
      addFault(ResultCode::ObjectBadValue, "tenant " + Name,
               "has a rate or burst below 0");
    for (const std::string &Key : Definition.Keys) {
      const auto [Owner, IsNew] = Owners.emplace(Key, Name);
      if (!IsNew)
        addFault(ResultCode::ObjectConflict, "tenant " + Name,
                 "shares a key with tenant " + std::string(Owner->second));
    }
  }
}

void ObjectSetBuilder::check() {
  if (Checked)
    return;
  Checked = true;
  for (const Common::IniSection &Section : Sections)
    parseSection(Section);
  checkReferences();
  checkFallbackCycles();
  checkRouteConflicts();
  checkSplits();
  checkTenants();
  const bool IsEmpty = Result.Services.empty() && Result.RetryRules.empty() &&
                       Result.Kinds.empty() && Result.Routes.empty();
  if (IsEmpty && Faults.empty())
    Faults.push_back(
        {ResultCode::SetEmpty, "set", 0, "the set contains no objects"});
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
