//===- FleetPublish.cpp - The serving state from the membership -----------===//
//
// Builds the snapshot that requests read.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Fleet.h"

namespace figlift::entry {

namespace {

/// Changes that come together are published together.
constexpr std::chrono::milliseconds PublishDelay{5};
constexpr std::chrono::milliseconds NotReadyRetryAfter{500};

Error notReadyError(std::string Message) {
  return Error{
      ResultCode::NotReady, std::move(Message), {}, NotReadyRetryAfter};
}

} // namespace

void Fleet::publishSoon() {
  if (std::exchange(m_PublishPending, true))
    return;
  m_Parts.Control.after(PublishDelay, [this] {
    m_PublishPending = false;
    if (!m_Stopped)
      publish();
  });
}

std::optional<Error> Fleet::notReady() const {
  if (!m_Configuration)
    return notReadyError("the entry has no configuration yet");
  if (!m_Membership.listKnown())
    return notReadyError("the entry does not know the targets yet");
  return m_NotReady;
}

route::TargetView Fleet::viewOf(const membership::TargetState &Known) {
  route::TargetView View;
  View.Id = Known.Listed.Id;
  View.BackEnd = Known.Listed.BackEnd;
  View.Zone = Known.Listed.Zone;
  View.Accepting = Known.acceptsWork();
  View.Gauge = m_Book.gauge(View.Id);
  if (!Known.Report)
    return View;
  View.CurrentRole = route::roleFromName(Known.Report->Role);
  View.Models = Known.Report->Models;
  View.Prefixes = route::PrefixSummary(Known.Report->PrefixHashes);
  View.Revision = Known.Report->Revision;
  return View;
}

std::map<std::string, route::ClassBounds> Fleet::bounds() const {
  std::map<std::string, route::ClassBounds> Bounds;
  if (!m_Configuration)
    return Bounds;
  for (const config::Item *Known : m_Configuration->list("backEnd")) {
    const std::string &Name = Known->Stored.Name;
    const record::BackEnd *BackEnd = m_Configuration->backEnd(Name);
    if (!BackEnd)
      continue;
    route::ClassBounds Own = route::DefaultClassBounds;
    for (const auto &[Class, Limits] : BackEnd->Classes)
      Own[static_cast<size_t>(Class)] = Limits.MaximumQueuedTokens;
    Bounds[Name] = Own;
  }
  return Bounds;
}

void Fleet::publish() {
  auto Next = std::make_unique<ServingState>();
  auto Status = std::make_shared<FleetStatus>();
  std::vector<route::TargetView> Views;
  for (const auto &[Id, Known] : m_Membership.targets()) {
    Status->Targets.push_back(Known);
    if (!Known.InSubset)
      continue;
    Views.push_back(viewOf(Known));
    if (const auto Link = m_Links.find(Id);
        Link != m_Links.end() && Known.Connected)
      Next->Links[Id] = Link->second.Link;
  }
  Status->Peers = m_Membership.peers();
  Next->NotReady = notReady();
  if (m_Configuration)
    Next->Configuration = m_Configuration;
  Next->Table = route::RoutingTable(std::move(Views), m_Book, bounds(),
                                    m_Parts.Settings.Process.Zone);
  Next->Homes = m_Homes;
  m_Status.store(std::move(Status));
  m_Parts.Published.publish(std::move(Next));
  m_Book.removeUnused();
}

} // namespace figlift::entry
