//===- Experiment.cpp - Reading experiment files --------------------------===//
//
// Every field is checked; an unknown one is an error, so that a misspelt
// setting cannot silently change what a figure means.
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
                       std::initializer_list<std::string_view> Known) {
  if (!Object.is_object())
    return invalid(Field, "an object is expected");
  for (const auto &[Key, Value] : Object.items()) {
    bool IsKnown = false;
    for (std::string_view Name : Known)
      IsKnown |= Name == Key;
    if (!IsKnown)
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
  constexpr int64_t Longest = milliseconds(std::chrono::hours(24)).count();
  if (!Value.is_number_integer() || Value.get<int64_t>() < 1 ||
      Value.get<int64_t>() > Longest)
    return invalid(Field + "." + Key, "milliseconds from 1 to a day expected");
  return milliseconds(Value.get<int64_t>());
}

Result<Range> readRange(const json &Object, const char *Key,
                        const std::string &Field) {
  constexpr uint32_t Most = 1u << 20;
  const json Value = Object.value(Key, json::array({1, 1}));
  bool IsPair = Value.is_array() && Value.size() == 2 &&
                Value[0].is_number_unsigned() && Value[1].is_number_unsigned();
  if (!IsPair || Value[0] > Value[1] || Value[1] > Most || Value[0] < 1)
    return invalid(Field + "." + Key,
                   "[minimum, maximum] expected, 1 to " + std::to_string(Most));
  return Range{Value[0].get<uint32_t>(), Value[1].get<uint32_t>()};
}

Result<std::string> readString(const json &Object, const char *Key,
                               const std::string &Field) {
  if (!Object.contains(Key) || !Object[Key].is_string())
    return invalid(Field + "." + Key, "a string is expected");
  return Object[Key].get<std::string>();
}

Result<uint32_t> readCount(const json &Object, const char *Key,
                           const std::string &Field, uint32_t Default) {
  if (!Object.contains(Key))
    return Default;
  if (!Object[Key].is_number_unsigned())
    return invalid(Field + "." + Key, "a whole number is expected");
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
    return invalid(Field + ".prefixes", "at least 1 expected");
  return CompletionWork{Model, Prompt, Output, Shared, Prefixes};
}

Result<ServiceWork> readService(const json &Object, const std::string &Field) {
  FIGLIFT_TRY(Service, readString(Object, "service", Field));
  FIGLIFT_TRY(Path, readString(Object, "path", Field));
  if (Object.contains("keyed") && !Object["keyed"].is_boolean())
    return invalid(Field + ".keyed", "true or false expected");
  return ServiceWork{Service, Path, Object.value("keyed", false)};
}

Result<Workload> readWorkload(const json &Object, const std::string &Field) {
  FIGLIFT_TRY(checkKeys(Object, Field,
                        {"model", "promptTokens", "outputTokens",
                         "sharedPrefixTokens", "prefixes", "service", "path",
                         "keyed", "deadlineMilliseconds", "workspaces"}));
  Workload Read;
  if (Object.contains("service")) {
    FIGLIFT_TRY(Work, readService(Object, Field));
    Read.Work = Work;
  } else {
    FIGLIFT_TRY(Work, readCompletion(Object, Field));
    Read.Work = Work;
  }
  FIGLIFT_TRY(Deadline, readMilliseconds(Object, "deadlineMilliseconds", Field,
                                         Read.Deadline));
  Read.Deadline = Deadline;
  for (const json &Name : Object.value("workspaces", json::array())) {
    if (!Name.is_string())
      return invalid(Field + ".workspaces", "strings are expected");
    Read.Workspaces.push_back(Name.get<std::string>());
  }
  return Read;
}

Result<std::map<std::string, double>>
readRates(const json &Object, const char *Key, const std::string &Field,
          const std::map<std::string, Workload> &Workloads) {
  constexpr double MostPerSecond = 100000;
  std::map<std::string, double> Rates;
  const json Values = Object.value(Key, json::object());
  if (!Values.is_object())
    return invalid(Field + "." + Key, "an object is expected");
  for (const auto &[Name, Value] : Values.items()) {
    std::string Path = Field + "." + Key + "." + Name;
    if (!Workloads.contains(Name))
      return invalid(Path, "no workload has this name");
    if (!Value.is_number() || Value < 0 || Value > MostPerSecond)
      return invalid(Path, "requests a second from 0 to 100000 expected");
    Rates[Name] = Value.get<double>();
  }
  return Rates;
}

Result<Phase> readPhase(const json &Object, const std::string &Field,
                        const std::map<std::string, Workload> &Workloads) {
  FIGLIFT_TRY(
      checkKeys(Object, Field, {"durationMilliseconds", "rates", "endRates"}));
  Phase Read;
  FIGLIFT_TRY(Duration, readMilliseconds(Object, "durationMilliseconds", Field,
                                         Read.Duration));
  FIGLIFT_TRY(Rates, readRates(Object, "rates", Field, Workloads));
  FIGLIFT_TRY(EndRates, readRates(Object, "endRates", Field, Workloads));
  Read.Duration = Duration;
  Read.Rates = Rates;
  Read.EndRates = Object.contains("endRates") ? EndRates : Rates;
  return Read;
}

Result<Experiment> readExperiment(const json &Object) {
  FIGLIFT_TRY(checkKeys(Object, "experiment", {"seed", "workloads", "phases"}));
  Experiment Read;
  FIGLIFT_TRY(Seed, readCount(Object, "seed", "experiment", 1));
  Read.Seed = Seed;
  const json Workloads = Object.value("workloads", json::object());
  for (const auto &[Name, Value] : Workloads.items()) {
    FIGLIFT_TRY(One, readWorkload(Value, "workloads." + Name));
    Read.Workloads[Name] = One;
  }
  for (const json &Value : Object.value("phases", json::array())) {
    std::string Field = "phases[" + std::to_string(Read.Phases.size()) + "]";
    FIGLIFT_TRY(One, readPhase(Value, Field, Read.Workloads));
    Read.Phases.push_back(One);
  }
  if (Read.Phases.empty())
    return invalid("phases", "at least one phase expected");
  return Read;
}

} // namespace

Result<Experiment> figlift::load::parseExperiment(std::string_view Json) {
  try {
    return readExperiment(json::parse(Json, nullptr, true,
                                      /*ignore_comments=*/true));
  } catch (const json::exception &Fault) {
    return invalid("experiment", Fault.what());
  }
}
