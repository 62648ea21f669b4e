//===- FullService.cpp - Checks that a fleet recovered --------------------===//
//
// Probes until each entry serves each back end, then waits until the state left
// by the probes and the fault is gone.
//
//===----------------------------------------------------------------------===//

#include "Support/FullService.h"

#include "Support/WaitUntil.h"

#include <set>
#include <sstream>

using namespace figlift::test;
using nlohmann::json;

namespace {

constexpr unsigned ProbeTokens = 3;
constexpr std::chrono::seconds ProbeLimit{5};

std::string probe(const std::string &Entry, const TargetOptions &Target) {
  if (Target.IsEngine) {
    const std::string Prompt = "probe";
    Answer Response =
        call(Entry, "POST", "/v1/completions",
             completionBody("desk", Prompt, ProbeTokens), {}, ProbeLimit);
    if (Response.streamedText() == expectedText(Prompt, ProbeTokens))
      return {};
    return "completion: " + std::to_string(Response.Status) + " " +
           Response.Body;
  }
  Answer Response =
      call(Entry, "POST", "/v1/services/" + Target.BackEnd + "/slots/probe",
           "{}", {{"Idempotency-Key", freshKey()}}, ProbeLimit);
  if (Response.Status == 200)
    return {};
  return "keyed call: " + std::to_string(Response.Status) + " " + Response.Body;
}

std::string servingProblem(Fleet &TestedFleet) {
  for (const std::string &Id : TestedFleet.options().Entries) {
    json Status =
        TestedFleet.getJson(TestedFleet.callers(Id), "/operator/v1/status");
    if (!Status.is_object() || !Status.contains("targets"))
      return Id + " reports no status";
    size_t Serving = 0;
    for (const json &Target : Status["targets"])
      Serving += Target.value("state", "") == "serving";
    if (Serving != TestedFleet.options().Targets.size())
      return Id + " does not report all targets as serving: " + Status.dump();
    std::set<std::string> Probed;
    for (const TargetOptions &Target : TestedFleet.options().Targets) {
      if (!Probed.insert(Target.BackEnd).second)
        continue;
      if (std::string Problem = probe(TestedFleet.callers(Id), Target);
          !Problem.empty())
        return Id + " does not serve " + Target.BackEnd + ": " + Problem;
    }
  }
  return {};
}

std::string agentProblem(Fleet &TestedFleet, const TargetOptions &Target) {
  json Status = TestedFleet.getJson(TestedFleet.admin(Target.Id), "/status");
  if (!Status.is_object() || !Status.value("accepting", false))
    return Target.Id + " does not accept requests: " + Status.dump();
  for (const char *Field : {"requestsInFlight", "atTarget", "heldAnswers",
                            "heldBytes", "openCalls"})
    if (Status.value(Field, 0) != 0)
      return Target.Id + " still has " + Field + ": " + Status.dump();
  if (!Target.IsEngine)
    return {};
  json Engine = TestedFleet.getJson(TestedFleet.target(Target.Id), "/v1/state");
  if (!Engine.is_object() || Engine.value("running", 1) != 0 ||
      Engine.value("waiting", 1) != 0)
    return Target.Id + "'s engine is not idle: " + Engine.dump();
  return {};
}

std::string tableProblem(Fleet &TestedFleet) {
  const std::string Orders =
      call(TestedFleet.platform(), "GET", "/control/rows?prefix=order/").Body;
  if (Orders.find("intended") != std::string::npos)
    return "unfinished order: " + Orders;
  const std::string Leases =
      call(TestedFleet.platform(), "GET", "/control/rows?prefix=lease/").Body;
  const std::string Slices =
      call(TestedFleet.platform(), "GET", "/control/rows?prefix=slice/").Body;
  for (const TargetOptions &Target : TestedFleet.options().Targets) {
    if (Leases.find("lease/" + Target.BackEnd) == std::string::npos)
      return "no planner holds the lease of " + Target.BackEnd + ": " + Leases;
    if (!Target.IsEngine &&
        Slices.find("slice/" + Target.BackEnd) == std::string::npos)
      return "no slices granted for " + Target.BackEnd + ": " + Slices;
  }
  return {};
}

std::string leftoverProblem(Fleet &TestedFleet) {
  for (const std::string &Id : TestedFleet.options().Entries)
    if (double Open =
            metric(TestedFleet.callers(Id), "entry_requests_in_flight");
        Open != 0)
      return Id + " has requests in flight: " + std::to_string(Open);
  for (const TargetOptions &Target : TestedFleet.options().Targets)
    if (std::string Problem = agentProblem(TestedFleet, Target);
        !Problem.empty())
      return Problem;
  return tableProblem(TestedFleet);
}

} // namespace

double figlift::test::metric(const std::string &Address,
                             const std::string &Name) {
  std::istringstream Lines(call(Address, "GET", "/metrics").Body);
  double Sum = 0;
  bool IsFound = false;
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with(Name) ||
        (Line[Name.size()] != ' ' && Line[Name.size()] != '{'))
      continue;
    IsFound = true;
    Sum += std::strtod(Line.c_str() + Line.rfind(' '), nullptr);
  }
  return IsFound ? Sum : -1;
}

std::string figlift::test::fullServiceProblem(Fleet &TestedFleet,
                                              std::chrono::milliseconds Limit) {
  std::string Problem;
  if (!waitUntil(Limit, [&] {
        return (Problem = servingProblem(TestedFleet)).empty();
      }))
    return Problem;
  waitUntil(Limit,
            [&] { return (Problem = leftoverProblem(TestedFleet)).empty(); });
  return Problem;
}
