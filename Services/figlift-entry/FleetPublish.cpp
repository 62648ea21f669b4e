//===- FleetPublish.cpp - Publication of the serving state ----------------===//
//
// Builds the snapshot that the request path reads.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Fleet.h"

namespace figlift::entry {

namespace {

/// Batches changes that arrive close together into one publication.
constexpr std::chrono::milliseconds PublishDelay{5};
constexpr std::chrono::milliseconds NotReadyRetryAfter{500};

Error notReadyError(std::string Message) {
  return Error{
      ResultCode::NotReady, std::move(Message), {}, NotReadyRetryAfter};
}

} // namespace

void Fleet::schedulePublish() {
  if (std::exchange(m_PublishPending, true))
    return;
  m_Dependencies.Control.after(PublishDelay, [this] {
    m_PublishPending = false;
    if (!m_Stopped)
      publish();
  });
}

std::optional<Error> Fleet::notReady() const {
  if (!m_Configuration)
    return notReadyError("the entry has no configuration yet");
  if (!m_Membership.listKnown())
    return notReadyError("the entry has not received the list of targets yet");
  return m_NotReady;
}

route::TargetView Fleet::targetView(const membership::TargetState &Target) {
  route::TargetView View;
  View.Id = Target.Listed.Id;
  View.BackEnd = Target.Listed.BackEnd;
  View.Zone = Target.Listed.Zone;
  View.Accepting = Target.acceptsWork();
  View.Gauge = m_InFlight.gauge(View.Id);
  if (!Target.Report)
    return View;
  View.CurrentRole = route::roleFromName(Target.Report->Role);
  View.Models = Target.Report->Models;
  View.Prefixes = route::PrefixSummary(Target.Report->PrefixHashes);
  View.Revision = Target.Report->Revision;
  return View;
}

std::map<std::string, route::ClassBounds> Fleet::classBounds() const {
  std::map<std::string, route::ClassBounds> Bounds;
  if (!m_Configuration)
    return Bounds;
  for (const config::SnapshotRecord *Item : m_Configuration->list("backEnd")) {
    const std::string &Name = Item->Stored.Name;
    const record::BackEnd *BackEnd = m_Configuration->backEnd(Name);
    if (!BackEnd)
      continue;
    route::ClassBounds BackEndBounds = route::DefaultClassBounds;
    for (const auto &[Class, Limits] : BackEnd->Classes)
      BackEndBounds[static_cast<size_t>(Class)] = Limits.MaximumQueuedTokens;
    Bounds[Name] = BackEndBounds;
  }
  return Bounds;
}

void Fleet::publish() {
  auto Next = std::make_unique<ServingState>();
  auto Status = std::make_shared<FleetStatus>();
  std::vector<route::TargetView> Views;
  for (const auto &[Id, Target] : m_Membership.targets()) {
    Status->Targets.push_back(Target);
    if (!Target.InSubset)
      continue;
    Views.push_back(targetView(Target));
    if (const auto Link = m_Links.find(Id);
        Link != m_Links.end() && Target.Connected)
      Next->Links[Id] = Link->second.Link;
  }
  Status->Peers = m_Membership.peers();
  Next->NotReady = notReady();
  if (m_Configuration)
    Next->Configuration = m_Configuration;
  Next->Table = route::RoutingTable(std::move(Views), m_InFlight, classBounds(),
                                    m_Dependencies.Settings.Process.Zone);
  Next->Homes = m_Homes;
  m_Status.store(std::move(Status));
  m_Dependencies.Published.publish(std::move(Next));
  m_InFlight.removeUnused();
}

} // namespace figlift::entry
