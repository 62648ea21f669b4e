//===- OperatorApi.cpp - HTTP routes for operators ------------------------===//
//
// See OperatorApi.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/OperatorApi.h"

#include <nlohmann/json.hpp>

namespace figlift::entry {

namespace {

using nlohmann::json;

bool names(const json &Event, const std::string &Id) {
  if (Event.at("subject").value("name", "") == Id)
    return true;
  const auto Fields = Event.find("fields");
  if (Fields == Event.end())
    return false;
  for (const json &Value : *Fields)
    if (Value.is_string() && Value.get<std::string>() == Id)
      return true;
  return false;
}

} // namespace

config::TargetStatus
EntryStatusProvider::describe(const membership::TargetState &Target) const {
  config::TargetStatus Line;
  Line.Id = Target.Listed.Id;
  Line.BackEnd = Target.Listed.BackEnd;
  Line.Zone = Target.Listed.Zone;
  Line.State = Target.describe();
  if (!Target.Report)
    return Line;
  Line.RevisionInForce = Target.Report->Revision;
  Line.Role = Target.Report->Role;
  Line.RequestsInFlight = Target.Report->RequestsInFlight;
  const auto Load = m_Dependencies.State.read(
      [&](const ServingState &Now) -> std::optional<route::TargetLoad> {
        const auto Link = Now.Links.find(Line.Id);
        if (Link == Now.Links.end())
          return std::nullopt;
        return Link->second->gauge().reported();
      });
  if (!Load)
    return Line;
  Line.Load = {.PrefillTokensWaiting = Load->prefillTotal(),
               .RunningSequences = Load->RunningSequences,
               .WaitingRequests = Load->WaitingRequests,
               .KvTokensFree = Load->KvTokensFree};
  return Line;
}

std::vector<config::TargetStatus> EntryStatusProvider::targets() const {
  const auto Now = m_Dependencies.Targets.status();
  std::vector<config::TargetStatus> Lines;
  for (const membership::TargetState &Target : Now->Targets)
    Lines.push_back(describe(Target));
  return Lines;
}

std::vector<config::EntryStatus> EntryStatusProvider::entries() const {
  const auto Now = m_Dependencies.Targets.status();
  std::vector<config::EntryStatus> Lines;
  for (const platform::Vm &Peer : Now->Peers) {
    const auto Revision = m_Dependencies.Others.revisionOf(Peer.Peer);
    Lines.push_back(
        {Peer.Id, Revision ? "serving" : "unreachable", Revision.value_or(0)});
  }
  return Lines;
}

std::vector<std::string>
EntryStatusProvider::explain(const std::string &Id) const {
  std::vector<std::string> Lines;
  const json Answer = json::parse(m_Dependencies.Events.toJson(), nullptr,
                                  /*allow_exceptions=*/false);
  if (!Answer.is_object())
    return Lines;
  for (const json &Event : Answer.value("events", json::array()))
    if (names(Event, Id))
      Lines.push_back(Event.dump());
  return Lines;
}

std::vector<http::Route> operatorRoutes(config::OperatorService &Service) {
  auto Forward = [&Service](std::shared_ptr<http::Exchange> Call) {
    Service.handle(Call->request(), [Call](http::Response Answer) {
      Call->reply(std::move(Answer));
    });
  };
  return {{http::AnyMethod, std::string(config::OperatorPathPrefix), true,
           std::move(Forward), /*Administrative=*/true}};
}

} // namespace figlift::entry
