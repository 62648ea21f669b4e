//===- OutOfStep.cpp - Gateways that do not hear of a new version ---------===//
//
// See OutOfStep.h.
//
//===----------------------------------------------------------------------===//

#include "OutOfStep.h"

#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

using std::chrono::milliseconds;

namespace {

/// The versions of before are on record by then.
constexpr milliseconds FirstDelay{2500};
/// Until streams of the version that left can no longer be taken up.
constexpr milliseconds Interval{6500};
constexpr unsigned MinimumLeadMs = 50;
constexpr unsigned MaximumLeadMs = 400;
/// Streams begin at the new version as soon as it is on record. A gateway that
/// is cut off for longer refuses as its list is too old.
constexpr unsigned MinimumServingMs = 500;
constexpr unsigned MaximumServingMs = 1800;
/// Callers come back to the only gateway that is left.
constexpr milliseconds RestartDelay{500};
/// Callers are back by then.
constexpr unsigned MinimumHealMs = 200;
constexpr unsigned MaximumHealMs = 1500;

} // namespace

OutOfStep::OutOfStep(SoakFleet &Fleet, InvariantChecker &Checker, uint64_t Seed)
    : m_Fleet(Fleet), m_Checker(Checker), m_Random(Seed) {
  m_Fleet.keepVersions();
}

unsigned OutOfStep::draw(unsigned Minimum, unsigned Maximum) {
  return std::uniform_int_distribution<unsigned>(Minimum, Maximum)(m_Random);
}

void OutOfStep::tick(BootTime Now, bool AllowNew) {
  if (m_Phase != Phase::Calm) {
    m_Checker.recordFault(InvariantChecker::AllGateways, Now);
    m_Checker.recordFault(InvariantChecker::Servers, Now);
  }
  if (m_Next == BootTime{} && AllowNew)
    m_Next = Now + FirstDelay;
  if (m_Next == BootTime{} || Now < m_Next)
    return;
  switch (m_Phase) {
  case Phase::Calm:
    return AllowNew ? cut(Now) : void();
  case Phase::Cut:
    return joinEngines(Now);
  case Phase::Joined:
    return killOthers(Now);
  case Phase::Killed:
    return heal(Now);
  }
}

void OutOfStep::setLoss(DatagramLoss To, DatagramLoss From) {
  m_Fleet.peers().setLossTo(m_Gateway, To);
  m_Fleet.peers().setLossFrom(m_Gateway, From);
}

void OutOfStep::cut(BootTime Now) {
  m_Gateway = draw(0, m_Fleet.gateways() - 1);
  const std::string Name = m_Fleet.gatewayName(m_Gateway);
  m_IsPaused = draw(1, 10) == 1;
  if (m_IsPaused) {
    m_History.push_back(Name + " stands still");
    m_Fleet.signal(m_Gateway, Signal::Pause);
  } else {
    const auto To =
        draw(1, 6) == 1 ? DatagramLoss::EverySecond : DatagramLoss::All;
    const auto From = draw(1, 2) == 1 ? To : DatagramLoss::None;
    setLoss(To, From);
    const auto Store = static_cast<StoreLink>(draw(0, 7) / 3);
    if (Store != StoreLink::Whole)
      m_Fleet.setLink(Link::Store, m_Gateway,
                      Store == StoreLink::Frozen ? LinkFault::Freeze
                                                 : LinkFault::Delay);
    m_History.push_back(fmt::format(
        "{} is cut off: datagrams to it {}, from it {}, store {}", Name,
        static_cast<int>(To), static_cast<int>(From), static_cast<int>(Store)));
  }
  m_Phase = Phase::Cut;
  m_Next = Now + milliseconds(draw(MinimumLeadMs, MaximumLeadMs));
}

/// The last engine keeps its version, so that streams may go on there.
void OutOfStep::joinEngines(BootTime Now) {
  const std::string New = fmt::format("ahead-{}", ++m_Versions);
  m_VersionBefore = m_Fleet.version(m_Fleet.servers() - 1);
  m_Engines.clear();
  for (unsigned I = 1; I < SoakFleet::Engines - 1; ++I) {
    m_Engines.push_back(m_Fleet.servers() - 1 - I);
    m_Fleet.replaceAs(m_Engines.back(), New);
  }
  m_History.push_back("engines of " + New + " join");
  m_Phase = Phase::Joined;
  m_Next = Now + milliseconds(draw(MinimumServingMs, MaximumServingMs));
}

void OutOfStep::killOthers(BootTime Now) {
  for (unsigned I = 0; I < m_Fleet.gateways(); ++I)
    if (I != m_Gateway) {
      m_Fleet.holdRestart(I, Now + RestartDelay);
      m_Fleet.signal(I, Signal::Kill);
    }
  for (const unsigned Engine : m_Engines)
    m_Fleet.replaceAs(Engine, m_VersionBefore);
  if (m_IsPaused)
    m_Fleet.resume(m_Gateway);
  m_History.push_back("the other gateways are killed, the engines leave");
  m_Phase = Phase::Killed;
  m_Next = Now + milliseconds(draw(MinimumHealMs, MaximumHealMs));
}

void OutOfStep::heal(BootTime Now) {
  setLoss(DatagramLoss::None, DatagramLoss::None);
  m_Fleet.setLink(Link::Store, m_Gateway, LinkFault::None);
  m_History.push_back(m_Fleet.gatewayName(m_Gateway) + " hears again");
  m_Phase = Phase::Calm;
  m_Next = Now + Interval;
}

} // namespace figlift::soak
