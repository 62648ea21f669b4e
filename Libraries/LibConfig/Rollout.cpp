//===- Rollout.cpp - Progress of a configuration rollout ------------------===//
//
// An entry knows only the agents to which it has a stream, so the highest
// revision that any entry reports for a process is used.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/Rollout.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace figlift::config {

using Json = nlohmann::json;

namespace {

/// Combined reports of all entries about one process.
struct ProcessStatus {
  /// 0 if no entry knows the revision.
  uint64_t Revision = 0;
  std::string State = "unreachable";
  bool IsGone = false;
};

/// Keyed by "target ID" or "entry ID".
using Processes = std::map<std::string, ProcessStatus>;

void merge(Processes &Merged, const std::string &Name, uint64_t Revision,
           const std::string &State) {
  ProcessStatus &Process = Merged[Name];
  Process.IsGone |= State == "gone";
  if (Revision < Process.Revision)
    return;
  Process.Revision = Revision;
  if (State != "unreachable")
    Process.State = State;
}

void mergeList(Processes &Merged, const Json &Status, const char *List,
               const std::string &NamePrefix) {
  for (const Json &Reported : Status.value(List, Json::array()))
    if (Reported.is_object())
      merge(Merged, NamePrefix + Reported.value("id", ""),
            Reported.value("revisionInForce", uint64_t(0)),
            Reported.value("state", "unreachable"));
}

Json parseBody(const EntryResponse &Response) {
  if (!Response.Body)
    return Json();
  return Json::parse(Response.Body.value(), nullptr, false);
}

Processes mergeAll(const std::vector<EntryResponse> &Responses) {
  Processes Merged;
  for (const EntryResponse &Response : Responses) {
    const Json Status = parseBody(Response);
    if (!Status.is_object()) {
      if (Response.Listening)
        merge(Merged, "entry " + Response.Entry.toString(), 0, "unreachable");
      continue;
    }
    merge(Merged, "entry " + Status.value("entry", Response.Entry.toString()),
          Status.value("revision", uint64_t(0)),
          Status.value("serving", true) ? "serving" : "not serving");
    mergeList(Merged, Status, "targets", "target ");
    mergeList(Merged, Status, "entries", "entry ");
  }
  return Merged;
}

/// An entry knows the revision of another entry only if the two are connected.
/// The message therefore says how to query the other entries as well.
std::string describe(const ProcessStatus &Process) {
  if (Process.Revision == 0 && Process.State == "serving")
    return "revision unknown; pass its address with --entry as well";
  return "revision " + std::to_string(Process.Revision) + ", " + Process.State;
}

} // namespace

Rollout rolloutStatus(const std::vector<EntryResponse> &Responses,
                      uint64_t Revision) {
  Rollout Status;
  try {
    for (const auto &[Name, Process] : mergeAll(Responses)) {
      if (Process.IsGone)
        continue;
      if (Process.Revision >= Revision)
        ++Status.InForce;
      else
        Status.Lagging.push_back(Name + ": " + describe(Process));
    }
  } catch (const Json::exception &Exception) {
    Status.Lagging.push_back(std::string("malformed status: ") +
                             Exception.what());
  }
  return Status;
}

bool isDrained(const std::vector<EntryResponse> &Responses,
               const std::string &Target) {
  bool HasResponse = false;
  bool IsListed = false;
  bool Drained = false;
  for (const EntryResponse &Response : Responses) {
    const Json Status = parseBody(Response);
    if (!Status.is_object())
      continue;
    HasResponse = true;
    for (const Json &Reported : Status.value("targets", Json::array())) {
      if (!Reported.is_object() || Reported.value("id", Json()) != Target)
        continue;
      Json State = Reported.value("state", Json());
      IsListed = true;
      Drained |= State == "drained" || State == "gone";
    }
  }
  return Drained || (HasResponse && !IsListed);
}

} // namespace figlift::config
