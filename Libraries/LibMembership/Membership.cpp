//===- Membership.cpp - Targets and peers of one entry --------------------===//
//
// Applies the sources of information about targets and selects the subset.
//
//===----------------------------------------------------------------------===//

#include "LibMembership/Membership.h"

#include "LibRoute/Subset.h"

#include <algorithm>
#include <set>
#include <utility>

namespace figlift::membership {

using platform::Vm;
using platform::VmKind;
using platform::VmState;

namespace {

bool sameVm(const Vm &Left, const Vm &Right) {
  return Left.Id == Right.Id && Left.Peer == Right.Peer &&
         Left.BackEnd == Right.BackEnd && Left.Zone == Right.Zone &&
         Left.State == Right.State;
}

bool sameVms(const std::vector<Vm> &Left, const std::vector<Vm> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    sameVm);
}

} // namespace

Membership::Membership(Options Settings) : m_Options(std::move(Settings)) {}

std::vector<Action> Membership::step(const Event &Event, BootTime) {
  Actions Out;
  std::visit([&](const auto &Chosen) { on(Chosen, Out); }, Event);
  return Out;
}

void Membership::on(const VmListRead &List, Actions &Out) {
  // An empty list is ignored once targets are known: a single read during a
  // fault of the platform would make the entry disconnect from every target.
  // Agents that are really gone stop reporting or refuse work themselves.
  if (List.Vms.empty() && !m_Targets.empty())
    return;
  m_ListKnown = true;
  updatePeers(List.Vms, Out);
  updateTargets(List.Vms, Out);
}

void Membership::updatePeers(const std::vector<Vm> &Listed, Actions &Out) {
  std::vector<Vm> Peers;
  for (const Vm &Candidate : Listed)
    if (Candidate.Kind == VmKind::Entry &&
        Candidate.Region == m_Options.Region &&
        Candidate.Id != m_Options.EntryId && Candidate.State == VmState::Live)
      Peers.push_back(Candidate);
  std::sort(Peers.begin(), Peers.end(),
            [](const Vm &Left, const Vm &Right) { return Left.Id < Right.Id; });
  if (sameVms(Peers, m_Peers))
    return;
  m_Peers = std::move(Peers);
  Out.push_back(PeersChanged{m_Peers});
}

void Membership::updateTargets(const std::vector<Vm> &Listed, Actions &Out) {
  std::set<std::string> ListedIds;
  for (const Vm &Candidate : Listed) {
    if (Candidate.Kind != VmKind::Target ||
        Candidate.Region != m_Options.Region)
      continue;
    ListedIds.insert(Candidate.Id);
    const auto [Position, IsNew] = m_Targets.try_emplace(Candidate.Id);
    if (IsNew) {
      Position->second.Listed = Candidate;
      if (const auto Desired = m_DesiredStates.find(Candidate.Id);
          Desired != m_DesiredStates.end())
        Position->second.DesiredState = Desired->second;
    } else {
      updateTarget(Position->second, Candidate, Out);
    }
  }
  for (auto &[Id, Target] : m_Targets)
    if (!ListedIds.contains(Id) && Target.Listed.State != VmState::Gone) {
      Target.Listed.State = VmState::Gone;
      Out.push_back(RoutingChanged{});
    }
  selectSubset(Out);
  removeGoneTargets();
}

void Membership::updateTarget(TargetState &Target, const Vm &Listed,
                              Actions &Out) {
  if (sameVm(Target.Listed, Listed))
    return;
  // The VM was replaced under the same id, so the connection is useless.
  if (Target.InSubset && Target.Listed.Peer != Listed.Peer)
    removeFromSubset(Target, Out);
  const bool StartedLeaving =
      Target.Listed.State == VmState::Live && Listed.State == VmState::Leaving;
  Target.Listed = Listed;
  if (StartedLeaving && Target.Connected)
    Out.push_back(NotifyLeaving{Listed.Id});
  Out.push_back(RoutingChanged{});
}

void Membership::selectSubset(Actions &Out) {
  std::map<std::string, std::vector<route::SubsetMember>> ByBackEnd;
  for (const auto &[Id, Target] : m_Targets)
    if (Target.Listed.State != VmState::Gone)
      ByBackEnd[Target.Listed.BackEnd].push_back({Id, Target.Listed.Zone});
  std::vector<std::string> Entries{m_Options.EntryId};
  for (const Vm &Peer : m_Peers)
    Entries.push_back(Peer.Id);

  std::set<std::string> Chosen;
  for (const auto &[BackEnd, Members] : ByBackEnd) {
    const size_t Count = m_PlannedBackEnds.contains(BackEnd)
                             ? Members.size()
                             : m_Options.TargetsPerBackEnd;
    for (std::string &Id : route::subsetFor(m_Options.EntryId, m_Options.Zone,
                                            Members, Count, Entries))
      Chosen.insert(std::move(Id));
  }
  for (auto &[Id, Target] : m_Targets) {
    if (Chosen.contains(Id) && !Target.InSubset)
      addToSubset(Target, Out);
    else if (!Chosen.contains(Id) && Target.InSubset)
      removeFromSubset(Target, Out);
  }
}

void Membership::addToSubset(TargetState &Target, Actions &Out) {
  Target.InSubset = true;
  Out.push_back(Connect{Target.Listed});
  Out.push_back(RoutingChanged{});
}

void Membership::removeFromSubset(TargetState &Target, Actions &Out) {
  Target.InSubset = false;
  Target.Connected = false;
  Target.Report.reset();
  Out.push_back(Disconnect{Target.Listed.Id});
  Out.push_back(RoutingChanged{});
}

void Membership::removeGoneTargets() {
  std::erase_if(m_Targets, [](const auto &Item) {
    return Item.second.Listed.State == VmState::Gone && !Item.second.InSubset;
  });
}

void Membership::on(const DesiredStatesRead &Records, Actions &Out) {
  m_DesiredStates = Records.DesiredStates;
  for (auto &[Id, Target] : m_Targets) {
    const auto Desired = m_DesiredStates.find(Id);
    const record::TargetIntent State = Desired == m_DesiredStates.end()
                                           ? record::TargetIntent::Serve
                                           : Desired->second;
    if (std::exchange(Target.DesiredState, State) != State)
      Out.push_back(RoutingChanged{});
  }
}

void Membership::on(const PlannedBackEndsChanged &Changed, Actions &Out) {
  if (m_PlannedBackEnds == Changed.BackEnds)
    return;
  m_PlannedBackEnds = Changed.BackEnds;
  selectSubset(Out);
}

void Membership::on(const ConnectionChanged &Changed, Actions &Out) {
  const auto Found = m_Targets.find(Changed.Target);
  if (Found == m_Targets.end() || !Found->second.InSubset)
    return;
  TargetState &Target = Found->second;
  if (Target.Connected == Changed.Connected)
    return;
  Target.Connected = Changed.Connected;
  // The last report may be from a process that has ended.
  Target.Report.reset();
  if (Target.Connected && Target.Listed.State == VmState::Leaving)
    Out.push_back(NotifyLeaving{Changed.Target});
  Out.push_back(RoutingChanged{});
}

void Membership::on(const ReportReceived &Received, Actions &Out) {
  const auto Found = m_Targets.find(Received.Target);
  if (Found == m_Targets.end() || !Found->second.Connected)
    return;
  TargetState &Target = Found->second;
  TargetReport Previous = Target.Report.value_or(TargetReport{});
  const bool IsFirst = !Target.Report;
  Target.Report = Received.Report;
  // The count changes with every request and does not affect routing.
  Previous.RequestsInFlight = Received.Report.RequestsInFlight;
  if (IsFirst || Previous != Received.Report)
    Out.push_back(RoutingChanged{});
}

} // namespace figlift::membership
