//===- Rollout.cpp - Who has a revision in force --------------------------===//
//
// An entry knows only the agents it holds a stream to, so the highest revision
// that any entry reports of a process counts.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/Rollout.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace figlift::config {

using Json = nlohmann::json;

namespace {

/// What all entries together say of one process.
struct Heard {
  /// 0: nobody has word of it.
  uint64_t Revision = 0;
  std::string State = "unreachable";
  bool Gone = false;
};

/// Processes by "target ID" or "entry ID".
using Processes = std::map<std::string, Heard>;

void merge(Processes &Into, const std::string &Name, uint64_t Revision,
           const std::string &State) {
  Heard &Known = Into[Name];
  Known.Gone |= State == "gone";
  if (Revision < Known.Revision)
    return;
  Known.Revision = Revision;
  if (State != "unreachable")
    Known.State = State;
}

void mergeList(Processes &Into, const Json &Status, const char *List,
               const std::string &Word) {
  for (const Json &Each : Status.value(List, Json::array()))
    if (Each.is_object())
      merge(Into, Word + Each.value("id", ""),
            Each.value("revisionInForce", uint64_t(0)),
            Each.value("state", "unreachable"));
}

Json parsed(const EntryAnswer &Answer) {
  if (!Answer.Body)
    return Json();
  return Json::parse(Answer.Body.value(), nullptr, false);
}

Processes processesIn(const std::vector<EntryAnswer> &Answers) {
  Processes All;
  for (const EntryAnswer &Each : Answers) {
    const Json Status = parsed(Each);
    if (!Status.is_object()) {
      if (Each.Running)
        merge(All, "entry " + Each.Entry.toString(), 0, "unreachable");
      continue;
    }
    merge(All, "entry " + Status.value("entry", Each.Entry.toString()),
          Status.value("revision", uint64_t(0)),
          Status.value("serving", true) ? "serving" : "not serving");
    mergeList(All, Status, "targets", "target ");
    mergeList(All, Status, "entries", "entry ");
  }
  return All;
}

/// An entry knows no other's revision unless they talk, so an operator who
/// names one entry of several has to be told how to ask the rest.
std::string describe(const Heard &Known) {
  if (Known.Revision == 0 && Known.State == "serving")
    return "no word of its revision; name it with --entry too";
  return "revision " + std::to_string(Known.Revision) + ", " + Known.State;
}

} // namespace

Rollout rolloutOf(const std::vector<EntryAnswer> &Answers, uint64_t Revision) {
  Rollout Found;
  try {
    for (const auto &[Name, Known] : processesIn(Answers)) {
      if (Known.Gone)
        continue;
      if (Known.Revision >= Revision)
        ++Found.InForce;
      else
        Found.Lagging.push_back(Name + ": " + describe(Known));
    }
  } catch (const Json::exception &Exception) {
    Found.Lagging.push_back(std::string("malformed status: ") +
                            Exception.what());
  }
  return Found;
}

bool isDrained(const std::vector<EntryAnswer> &Answers,
               const std::string &Target) {
  bool Answered = false;
  bool Listed = false;
  bool Drained = false;
  for (const EntryAnswer &Each : Answers) {
    const Json Status = parsed(Each);
    if (!Status.is_object())
      continue;
    Answered = true;
    for (const Json &Line : Status.value("targets", Json::array())) {
      if (!Line.is_object() || Line.value("id", Json()) != Target)
        continue;
      Json State = Line.value("state", Json());
      Listed = true;
      Drained |= State == "drained" || State == "gone";
    }
  }
  return Drained || (Answered && !Listed);
}

} // namespace figlift::config
