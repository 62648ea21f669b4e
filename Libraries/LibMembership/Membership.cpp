//===- Membership.cpp - Targets and peers of one entry --------------------===//
//
// See Membership.h.
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

std::vector<Action> Membership::step(const Event &Happened, BootTime) {
  Actions Out;
  std::visit([&](const auto &Which) { on(Which, Out); }, Happened);
  return Out;
}

void Membership::on(const VmListRead &Read, Actions &Out) {
  // An empty list is not believed: one read during a fault of the platform
  // would make the entry give up every target at once, while agents that
  // really left stop reporting and refuse work by themselves.
  if (Read.Vms.empty() && !m_Targets.empty())
    return;
  m_ListKnown = true;
  takePeers(Read.Vms, Out);
  takeTargets(Read.Vms, Out);
}

void Membership::takePeers(const std::vector<Vm> &Listed, Actions &Out) {
  std::vector<Vm> Peers;
  for (const Vm &Candidate : Listed)
    if (Candidate.Kind == VmKind::Entry &&
        Candidate.Region == m_Options.Region &&
        Candidate.Id != m_Options.EntryId && Candidate.State == VmState::Live)
      Peers.push_back(Candidate);
  std::sort(Peers.begin(), Peers.end(),
            [](const Vm &A, const Vm &B) { return A.Id < B.Id; });
  if (sameVms(Peers, m_Peers))
    return;
  m_Peers = std::move(Peers);
  Out.push_back(PeersChanged{m_Peers});
}

void Membership::takeTargets(const std::vector<Vm> &Listed, Actions &Out) {
  std::set<std::string> Seen;
  for (const Vm &Candidate : Listed) {
    if (Candidate.Kind != VmKind::Target ||
        Candidate.Region != m_Options.Region)
      continue;
    Seen.insert(Candidate.Id);
    const auto [Place, IsNew] = m_Targets.try_emplace(Candidate.Id);
    if (IsNew) {
      Place->second.Listed = Candidate;
      if (const auto Wish = m_Wishes.find(Candidate.Id); Wish != m_Wishes.end())
        Place->second.Wish = Wish->second;
    } else {
      update(Place->second, Candidate, Out);
    }
  }
  for (auto &[Id, Known] : m_Targets)
    if (!Seen.contains(Id) && Known.Listed.State != VmState::Gone) {
      Known.Listed.State = VmState::Gone;
      Out.push_back(RoutingChanged{});
    }
  chooseSubset(Out);
  forgetGone();
}

void Membership::update(TargetState &Known, const Vm &Listed, Actions &Out) {
  if (sameVm(Known.Listed, Listed))
    return;
  // A VM that was replaced under its id: the old connection leads nowhere.
  if (Known.InSubset && Known.Listed.Peer != Listed.Peer)
    leave(Known, Out);
  const bool BeganToLeave =
      Known.Listed.State == VmState::Live && Listed.State == VmState::Leaving;
  Known.Listed = Listed;
  if (BeganToLeave && Known.Connected)
    Out.push_back(TellLeaving{Listed.Id});
  Out.push_back(RoutingChanged{});
}

void Membership::chooseSubset(Actions &Out) {
  std::map<std::string, std::vector<route::SubsetMember>> ByBackEnd;
  for (const auto &[Id, Known] : m_Targets)
    if (Known.Listed.State != VmState::Gone)
      ByBackEnd[Known.Listed.BackEnd].push_back({Id, Known.Listed.Zone});
  std::vector<std::string> Entries{m_Options.EntryId};
  for (const Vm &Peer : m_Peers)
    Entries.push_back(Peer.Id);

  std::set<std::string> Chosen;
  for (const auto &[BackEnd, Members] : ByBackEnd) {
    const size_t Count = m_Planned.contains(BackEnd)
                             ? Members.size()
                             : m_Options.TargetsPerBackEnd;
    for (std::string &Id : route::subsetFor(m_Options.EntryId, m_Options.Zone,
                                            Members, Count, Entries))
      Chosen.insert(std::move(Id));
  }
  for (auto &[Id, Known] : m_Targets) {
    if (Chosen.contains(Id) && !Known.InSubset)
      enter(Known, Out);
    else if (!Chosen.contains(Id) && Known.InSubset)
      leave(Known, Out);
  }
}

void Membership::enter(TargetState &Known, Actions &Out) {
  Known.InSubset = true;
  Out.push_back(Connect{Known.Listed});
  Out.push_back(RoutingChanged{});
}

void Membership::leave(TargetState &Known, Actions &Out) {
  Known.InSubset = false;
  Known.Connected = false;
  Known.Report.reset();
  Out.push_back(Disconnect{Known.Listed.Id});
  Out.push_back(RoutingChanged{});
}

void Membership::forgetGone() {
  std::erase_if(m_Targets, [](const auto &Entry) {
    return Entry.second.Listed.State == VmState::Gone && !Entry.second.InSubset;
  });
}

void Membership::on(const WishesRead &Read, Actions &Out) {
  m_Wishes = Read.Wishes;
  for (auto &[Id, Known] : m_Targets) {
    const auto Wish = m_Wishes.find(Id);
    const record::TargetIntent Now =
        Wish == m_Wishes.end() ? record::TargetIntent::Serve : Wish->second;
    if (std::exchange(Known.Wish, Now) != Now)
      Out.push_back(RoutingChanged{});
  }
}

void Membership::on(const PlannedChanged &Changed, Actions &Out) {
  if (m_Planned == Changed.BackEnds)
    return;
  m_Planned = Changed.BackEnds;
  chooseSubset(Out);
}

void Membership::on(const ConnectionChanged &Changed, Actions &Out) {
  const auto Found = m_Targets.find(Changed.Target);
  if (Found == m_Targets.end() || !Found->second.InSubset)
    return;
  TargetState &Known = Found->second;
  if (Known.Connected == Changed.Connected)
    return;
  Known.Connected = Changed.Connected;
  // What it last said may be of a process that no longer lives.
  Known.Report.reset();
  if (Known.Connected && Known.Listed.State == VmState::Leaving)
    Out.push_back(TellLeaving{Changed.Target});
  Out.push_back(RoutingChanged{});
}

void Membership::on(const Reported &Report, Actions &Out) {
  const auto Found = m_Targets.find(Report.Target);
  if (Found == m_Targets.end() || !Found->second.Connected)
    return;
  TargetState &Known = Found->second;
  TargetReport Before = Known.Report.value_or(TargetReport{});
  const bool IsFirst = !Known.Report;
  Known.Report = Report.Report;
  // The count changes with every request and says nothing about routing.
  Before.RequestsInFlight = Report.Report.RequestsInFlight;
  if (IsFirst || Before != Report.Report)
    Out.push_back(RoutingChanged{});
}

} // namespace figlift::membership
