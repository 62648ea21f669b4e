//===- Experiment.cpp - Parses experiment files ---------------------------===//
//
// Every field is validated, and an unknown field is an error: a misspelled
// setting would otherwise silently change the meaning of the results.
//
//===----------------------------------------------------------------------===//

#include "LibLoad/Experiment.h"

#include <nlohmann/json.hpp>

#include <initializer_list>

using namespace figlift;
using namespace figlift::load;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

auto invalid(const std::string &Field, const std::string &Message) {
  return failure(ResultCode::InvalidInput, Field + ": " + Message, Field);
}

Result<void> checkKeys(const json &Object, const std::string &Field,
                       std::initializer_list<std::string_view> AllowedKeys) {
  if (!Object.is_object())
    return invalid(Field, "expected an object");
  for (const auto &[Key, Value] : Object.items()) {
    bool IsAllowed = false;
    for (std::string_view Name : AllowedKeys)
      IsAllowed |= Name == Key;
    if (!IsAllowed)
      return invalid(Field + "." + Key, "unknown field");
  }
  return success();
}

Result<milliseconds> readMilliseconds(const json &Object, const char *Key,
                                      const std::string &Field,
                                      milliseconds Default) {
  if (!Object.contains(Key))
    return Default;
  const json &Value = Object[Key];
  constexpr int64_t MaximumMilliseconds =
      milliseconds(std::chrono::hours(24)).count();
  if (!Value.is_number_integer() || Value.get<int64_t>() < 1 ||
      Value.get<int64_t>() > MaximumMilliseconds)
    return invalid(Field + "." + Key,
                   "expected milliseconds from 1 to one day");
  return milliseconds(Value.get<int64_t>());
}

Result<Range> readRange(const json &Object, const char *Key,
                        const std::string &Field) {
  constexpr uint32_t Limit = 1u << 20;
  const json Value = Object.value(Key, json::array({1, 1}));
  bool IsPair = Value.is_array() && Value.size() == 2 &&
                Value[0].is_number_unsigned() && Value[1].is_number_unsigned();
  if (!IsPair || Value[0] > Value[1] || Value[1] > Limit || Value[0] < 1)
    return invalid(Field + "." + Key, "expected [minimum, maximum] from 1 to " +
                                          std::to_string(Limit));
  return Range{Value[0].get<uint32_t>(), Value[1].get<uint32_t>()};
}

Result<std::string> readString(const json &Object, const char *Key,
                               const std::string &Field) {
  if (!Object.contains(Key) || !Object[Key].is_string())
    return invalid(Field + "." + Key, "expected a string");
  return Object[Key].get<std::string>();
}

Result<uint32_t> readCount(const json &Object, const char *Key,
                           const std::string &Field, uint32_t Default) {
  if (!Object.contains(Key))
    return Default;
  if (!Object[Key].is_number_unsigned())
    return invalid(Field + "." + Key, "expected a whole number");
  return Object[Key].get<uint32_t>();
}

Result<CompletionWork> readCompletion(const json &Object,
                                      const std::string &Field) {
  CompletionWork Work;
  FIGLIFT_TRY(Model, readString(Object, "model", Field));
  FIGLIFT_TRY(Prompt, readRange(Object, "promptTokens", Field));
  FIGLIFT_TRY(Output, readRange(Object, "outputTokens", Field));
  FIGLIFT_TRY(Shared, readCount(Object, "sharedPrefixTokens", Field, 0));
  FIGLIFT_TRY(Prefixes, readCount(Object, "prefixes", Field, 1));
  if (Prefixes == 0)
    return invalid(Field + ".prefixes", "expected at least 1");
  return CompletionWork{Model, Prompt, Output, Shared, Prefixes};
}

Result<ServiceWork> readService(const json &Object, const std::string &Field) {
  FIGLIFT_TRY(Service, readString(Object, "service", Field));
  FIGLIFT_TRY(Path, readString(Object, "path", Field));
  if (Object.contains("keyed") && !Object["keyed"].is_boolean())
    return invalid(Field + ".keyed", "expected true or false");
  return ServiceWork{Service, Path, Object.value("keyed", false)};
}

Result<Workload> readWorkload(const json &Object, const std::string &Field) {
  FIGLIFT_TRY(checkKeys(Object, Field,
                        {"model", "promptTokens", "outputTokens",
                         "sharedPrefixTokens", "prefixes", "service", "path",
                         "keyed", "deadlineMilliseconds", "workspaces"}));
  Workload Parsed;
  if (Object.contains("service")) {
    FIGLIFT_TRY(Work, readService(Object, Field));
    Parsed.Work = Work;
  } else {
    FIGLIFT_TRY(Work, readCompletion(Object, Field));
    Parsed.Work = Work;
  }
  FIGLIFT_TRY(Deadline, readMilliseconds(Object, "deadlineMilliseconds", Field,
                                         Parsed.Deadline));
  Parsed.Deadline = Deadline;
  for (const json &Name : Object.value("workspaces", json::array())) {
    if (!Name.is_string())
      return invalid(Field + ".workspaces", "expected strings");
    Parsed.Workspaces.push_back(Name.get<std::string>());
  }
  return Parsed;
}

Result<std::map<std::string, double>>
readRates(const json &Object, const char *Key, const std::string &Field,
          const std::map<std::string, Workload> &Workloads) {
  constexpr double MaximumPerSecond = 100000;
  std::map<std::string, double> Rates;
  const json Values = Object.value(Key, json::object());
  if (!Values.is_object())
    return invalid(Field + "." + Key, "expected an object");
  for (const auto &[Name, Value] : Values.items()) {
    std::string Path = Field + "." + Key + "." + Name;
    if (!Workloads.contains(Name))
      return invalid(Path, "unknown workload");
    if (!Value.is_number() || Value < 0 || Value > MaximumPerSecond)
      return invalid(Path, "expected requests per second from 0 to 100000");
    Rates[Name] = Value.get<double>();
  }
  return Rates;
}

Result<Phase> readPhase(const json &Object, const std::string &Field,
                        const std::map<std::string, Workload> &Workloads) {
  FIGLIFT_TRY(
      checkKeys(Object, Field, {"durationMilliseconds", "rates", "endRates"}));
  Phase Parsed;
  FIGLIFT_TRY(Duration, readMilliseconds(Object, "durationMilliseconds", Field,
                                         Parsed.Duration));
  FIGLIFT_TRY(Rates, readRates(Object, "rates", Field, Workloads));
  FIGLIFT_TRY(EndRates, readRates(Object, "endRates", Field, Workloads));
  Parsed.Duration = Duration;
  Parsed.Rates = Rates;
  Parsed.EndRates = Object.contains("endRates") ? EndRates : Rates;
  return Parsed;
}

Result<Experiment> readExperiment(const json &Object) {
  FIGLIFT_TRY(checkKeys(Object, "experiment", {"seed", "workloads", "phases"}));
  Experiment Parsed;
  FIGLIFT_TRY(Seed, readCount(Object, "seed", "experiment", 1));
  Parsed.Seed = Seed;
  const json Workloads = Object.value("workloads", json::object());
  for (const auto &[Name, Value] : Workloads.items()) {
    FIGLIFT_TRY(ParsedWorkload, readWorkload(Value, "workloads." + Name));
    Parsed.Workloads[Name] = ParsedWorkload;
  }
  for (const json &Value : Object.value("phases", json::array())) {
    std::string Field = "phases[" + std::to_string(Parsed.Phases.size()) + "]";
    FIGLIFT_TRY(ParsedPhase, readPhase(Value, Field, Parsed.Workloads));
    Parsed.Phases.push_back(ParsedPhase);
  }
  if (Parsed.Phases.empty())
    return invalid("phases", "expected at least one phase");
  return Parsed;
}

} // namespace

Result<Experiment> figlift::load::parseExperiment(std::string_view Json) {
  try {
    return readExperiment(json::parse(Json, nullptr, true,
                                      /*ignore_comments=*/true));
  } catch (const json::exception &Exception) {
    return invalid("experiment", Exception.what());
  }
}
