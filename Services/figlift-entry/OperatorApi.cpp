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

bool mentions(const json &Event, const std::string &Id) {
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
  config::TargetStatus Status;
  Status.Id = Target.Listed.Id;
  Status.BackEnd = Target.Listed.BackEnd;
  Status.Zone = Target.Listed.Zone;
  Status.State = Target.describe();
  if (!Target.Report)
    return Status;
  Status.RevisionInForce = Target.Report->Revision;
  Status.Role = Target.Report->Role;
  Status.RequestsInFlight = Target.Report->RequestsInFlight;
  const auto Load = m_Dependencies.State.read(
      [&](const ServingState &Now) -> std::optional<route::TargetLoad> {
        const auto Link = Now.Links.find(Status.Id);
        if (Link == Now.Links.end())
          return std::nullopt;
        return Link->second->gauge().reported();
      });
  if (!Load)
    return Status;
  Status.Load = {.PrefillTokensWaiting = Load->prefillTotal(),
                 .RunningSequences = Load->RunningSequences,
                 .WaitingRequests = Load->WaitingRequests,
                 .KvTokensFree = Load->KvTokensFree};
  return Status;
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
    const auto Revision = m_Dependencies.Peers.revisionOf(Peer.Peer);
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
    if (mentions(Event, Id))
      Lines.push_back(Event.dump());
  return Lines;
}

std::vector<http::Route> operatorRoutes(config::OperatorService &Service) {
  auto Forward = [&Service](std::shared_ptr<http::Exchange> Exchange) {
    Service.handle(Exchange->request(), [Exchange](http::Response Answer) {
      Exchange->reply(std::move(Answer));
    });
  };
  return {{http::AnyMethod, std::string(config::OperatorPathPrefix), true,
           std::move(Forward), /*Administrative=*/true}};
}

} // namespace figlift::entry
