//===- FullService.cpp - Whether a fleet is back to full service ----------===//
//
// First probes until each entry has served each back end, then waits until the
// state that the probes and the fault left is gone.
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
    Answer Got =
        call(Entry, "POST", "/v1/completions",
             completionBody("desk", Prompt, ProbeTokens), {}, ProbeLimit);
    if (Got.streamedText() == expectedText(Prompt, ProbeTokens))
      return {};
    return "completion: " + std::to_string(Got.Status) + " " + Got.Body;
  }
  Answer Got =
      call(Entry, "POST", "/v1/services/" + Target.BackEnd + "/slots/probe",
           "{}", {{"Idempotency-Key", freshKey()}}, ProbeLimit);
  if (Got.Status == 200)
    return {};
  return "keyed call: " + std::to_string(Got.Status) + " " + Got.Body;
}

std::string whoDoesNotServe(Fleet &Of) {
  for (const std::string &Id : Of.options().Entries) {
    json Status = Of.getJson(Of.callers(Id), "/operator/v1/status");
    if (!Status.is_object() || !Status.contains("targets"))
      return Id + " tells no status";
    size_t Serving = 0;
    for (const json &Target : Status["targets"])
      Serving += Target.value("state", "") == "serving";
    if (Serving != Of.options().Targets.size())
      return Id + " sees not every target serving: " + Status.dump();
    std::set<std::string> Probed;
    for (const TargetOptions &Target : Of.options().Targets) {
      if (!Probed.insert(Target.BackEnd).second)
        continue;
      if (std::string Problem = probe(Of.callers(Id), Target); !Problem.empty())
        return Id + " does not serve " + Target.BackEnd + ": " + Problem;
    }
  }
  return {};
}

std::string leftAtAgent(Fleet &Of, const TargetOptions &Target) {
  json Status = Of.getJson(Of.admin(Target.Id), "/status");
  if (!Status.is_object() || !Status.value("accepting", false))
    return Target.Id + " does not accept: " + Status.dump();
  for (const char *Field : {"requestsInFlight", "atTarget", "heldAnswers",
                            "heldBytes", "openCalls"})
    if (Status.value(Field, 0) != 0)
      return Target.Id + " still has " + Field + ": " + Status.dump();
  if (!Target.IsEngine)
    return {};
  json Engine = Of.getJson(Of.target(Target.Id), "/v1/state");
  if (!Engine.is_object() || Engine.value("running", 1) != 0 ||
      Engine.value("waiting", 1) != 0)
    return Target.Id + "'s engine is not quiet: " + Engine.dump();
  return {};
}

std::string leftInTable(Fleet &Of) {
  const std::string Orders =
      call(Of.platform(), "GET", "/control/rows?prefix=order/").Body;
  if (Orders.find("intended") != std::string::npos)
    return "a half-done order: " + Orders;
  const std::string Leases =
      call(Of.platform(), "GET", "/control/rows?prefix=lease/").Body;
  const std::string Slices =
      call(Of.platform(), "GET", "/control/rows?prefix=slice/").Body;
  for (const TargetOptions &Target : Of.options().Targets) {
    if (Leases.find("lease/" + Target.BackEnd) == std::string::npos)
      return "nobody plans for " + Target.BackEnd + ": " + Leases;
    if (!Target.IsEngine &&
        Slices.find("slice/" + Target.BackEnd) == std::string::npos)
      return "no slices of " + Target.BackEnd + ": " + Slices;
  }
  return {};
}

std::string whatIsLeft(Fleet &Of) {
  for (const std::string &Id : Of.options().Entries)
    if (double Open = metric(Of.callers(Id), "entry_requests_in_flight");
        Open != 0)
      return Id + " has requests in flight: " + std::to_string(Open);
  for (const TargetOptions &Target : Of.options().Targets)
    if (std::string Problem = leftAtAgent(Of, Target); !Problem.empty())
      return Problem;
  return leftInTable(Of);
}

} // namespace

double figlift::test::metric(const std::string &Address,
                             const std::string &Name) {
  std::istringstream Lines(call(Address, "GET", "/metrics").Body);
  double Sum = 0;
  bool Found = false;
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with(Name) ||
        (Line[Name.size()] != ' ' && Line[Name.size()] != '{'))
      continue;
    Found = true;
    Sum += std::strtod(Line.c_str() + Line.rfind(' '), nullptr);
  }
  return Found ? Sum : -1;
}

std::string figlift::test::fullServiceProblem(Fleet &Of,
                                              std::chrono::milliseconds Limit) {
  std::string Problem;
  if (!waitUntil(Limit,
                 [&] { return (Problem = whoDoesNotServe(Of)).empty(); }))
    return Problem;
  waitUntil(Limit, [&] { return (Problem = whatIsLeft(Of)).empty(); });
  return Problem;
}
