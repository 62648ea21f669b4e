//===- FaultInjector.cpp - Seeded, overlapping faults ---------------------===//
//
// See FaultInjector.h.
//
//===----------------------------------------------------------------------===//

#include "FaultInjector.h"

#include <algorithm>
#include <array>

#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

using std::chrono::milliseconds;

namespace {
constexpr size_t MaximumFaults = 4;
/// Pause between two faults. The mean gives about 25 faults in ten seconds, so
/// that they overlap.
constexpr unsigned MinimumPauseMs = 30;
constexpr unsigned MaximumPauseMs = 700;
constexpr std::array LinkFaults = {LinkFault::Cut, LinkFault::Freeze,
                                   LinkFault::LoseRequests,
                                   LinkFault::LoseResponses, LinkFault::Delay};
/// Whether the fault of a link to a server may lose an answer.
constexpr bool losesAnswers(LinkFault Mode) {
  return Mode == LinkFault::Cut || Mode == LinkFault::Freeze ||
         Mode == LinkFault::LoseResponses;
}
constexpr std::array Behaviors = {
    Behavior::ServerError, Behavior::DropsConnection,
    Behavior::Slow,        Behavior::WrongAttemptId,
    Behavior::RejectsAll,  Behavior::Unresponsive};
/// Gateways have to keep to a limit three seconds after its first announcement,
/// so it lasts longer than other faults.
constexpr unsigned MaximumLimitMs = 9000;
} // namespace

unsigned FaultInjector::draw(unsigned Minimum, unsigned Maximum) {
  return std::uniform_int_distribution<unsigned>(Minimum, Maximum)(m_Random);
}

BootTime FaultInjector::randomTime(BootTime Now, unsigned Minimum,
                                   unsigned Maximum) {
  return Now + milliseconds(draw(Minimum, Maximum));
}

bool FaultInjector::isActive(const std::string &Name) const {
  return std::any_of(
      m_ActiveFaults.begin(), m_ActiveFaults.end(),
      [&](const ActiveFault &Fault) { return Fault.Name == Name; });
}

void FaultInjector::activate(const std::string &Name,
                             const std::vector<std::string> &Affected,
                             BootTime Until, std::function<void()> Repair,
                             const std::string &LossyServers) {
  m_ActiveFaults.push_back(
      {Name, Affected, Until, std::move(Repair), LossyServers});
  // Recorded at once, not at the next tick: requests that are interrupted
  // before then are interrupted by this fault, too.
  record(m_ActiveFaults.back(), BootClock::now());
}

void FaultInjector::record(const ActiveFault &Fault, BootTime Now) {
  for (const std::string &Part : Fault.Affected)
    m_Checker.recordFault(Part, Now);
  if (!Fault.LossyServers.empty())
    m_Checker.recordLossyLink(Fault.LossyServers, Now);
}

void FaultInjector::tick(BootTime Now, bool AllowNew) {
  for (const ActiveFault &Fault : m_ActiveFaults)
    record(Fault, Now);
  std::vector<ActiveFault> Expired;
  std::erase_if(m_ActiveFaults, [&](ActiveFault &Fault) {
    if (Now < Fault.Until)
      return false;
    Expired.push_back(std::move(Fault));
    return true;
  });
  for (const ActiveFault &Fault : Expired)
    Fault.Repair();
  if (!AllowNew || Now < m_NextFault || m_ActiveFaults.size() >= MaximumFaults)
    return;
  m_NextFault = randomTime(Now, MinimumPauseMs, MaximumPauseMs);
  if (m_HasServerFeedback && m_FeedbackRandom() % 3 == 0)
    beginPause(Now);
  if (m_HasRollouts)
    rollOut(Now);
  if (m_InterruptsMore && !m_PlannedOnly) {
    cutHeads(Now);
    beginCanary(Now);
  }
  if (m_BreaksAnswers)
    breakAnswers(Now);
  m_PlannedOnly ? beginPlanned(Now) : beginFault(Now);
}

void FaultInjector::cutHeads(BootTime Now) {
  disturbAnswers(LinkFault::CutHeads, "cuts heads", Now);
}

/// Of some servers at a time.
void FaultInjector::breakAnswers(BootTime Now) {
  for (unsigned I = 0; I < m_Fleet.servers() / 2; ++I)
    disturbAnswers(LinkFault::BreakAnswers, "breaks answers", Now);
}

void FaultInjector::disturbAnswers(LinkFault Mode, const std::string &Effect,
                                   BootTime Now) {
  const auto Server =
      static_cast<unsigned>(m_InterruptRandom() % m_Fleet.servers());
  const std::string Name = fmt::format("link 2 {}", Server);
  if (m_InterruptRandom() % 3 != 0 || isActive(Name))
    return;
  m_History.push_back(Name + " " + Effect);
  m_Fleet.setLink(Link::Server, Server, Mode);
  constexpr unsigned MaximumTimeMs = 1500;
  activate(
      Name, {InvariantChecker::Servers, InvariantChecker::ServerLinks},
      Now + milliseconds(m_InterruptRandom() % MaximumTimeMs),
      [this, Server] {
        m_Fleet.setLink(Link::Server, Server, LinkFault::None);
      },
      SoakFleet::serverPrefix(Server));
}

/// Streams must not begin at a version that a gateway which starts would not
/// know of.
void FaultInjector::beginCanary(BootTime Now) {
  constexpr milliseconds Interval{4000};
  // The versions of before are on record by then.
  if (m_NextCanary == BootTime{})
    m_NextCanary = Now + Interval;
  if (Now < m_NextCanary || isActive("store"))
    return;
  m_NextCanary = Now + Interval;
  const unsigned Engine =
      m_Fleet.servers() - 1 -
      static_cast<unsigned>(m_InterruptRandom() % (SoakFleet::Engines - 1));
  m_History.push_back(fmt::format("server {} is a canary", Engine));
  m_Fleet.store().RejectsTransactions = true;
  const std::string Before = m_Fleet.version(Engine);
  m_Fleet.replaceAs(Engine, fmt::format("canary-{}", ++m_Canaries));
  const auto End = [this, Engine, Before] {
    for (unsigned I = 0; I < m_Fleet.gateways(); ++I)
      sendSignal(I, Signal::Kill);
    m_Fleet.replaceAs(Engine, Before);
    m_Fleet.store().RejectsTransactions = false;
  };
  constexpr unsigned MinimumTimeMs = 800;
  constexpr unsigned TimeSpreadMs = 1000;
  // Takes the name of store faults, so that none of them overlaps.
  activate("store", {InvariantChecker::AllGateways, InvariantChecker::Servers},
           Now +
               milliseconds(MinimumTimeMs + m_InterruptRandom() % TimeSpreadMs),
           End);
}

/// Replaces an engine, or kills a gateway.
void FaultInjector::rollOut(BootTime Now) {
  if (m_RolloutRandom() % 2 == 0) {
    const auto Gateway =
        static_cast<unsigned>(m_RolloutRandom() % m_Fleet.gateways());
    m_Checker.recordFault(m_Fleet.gatewayName(Gateway), Now);
    return sendSignal(Gateway, Signal::Kill);
  }
  const unsigned Engine =
      m_Fleet.servers() - 1 -
      static_cast<unsigned>(m_RolloutRandom() % SoakFleet::Engines);
  m_History.push_back(fmt::format("server {} rolled out", Engine));
  m_Checker.recordFault(InvariantChecker::Servers, Now);
  m_Fleet.replace(Engine);
}

void FaultInjector::beginPlanned(BootTime Now) {
  switch (draw(0, 6)) {
  case 0:
    return beginReplacement(Now);
  case 1:
  case 2:
    return configure();
  default:
    return signalGateways();
  }
}

/// Stops about one gateway in eight, changes the grace of some, and does both
/// to others, in either order.
void FaultInjector::signalGateways() {
  static const std::array<std::vector<Signal>, 5> Sequences = {
      {{Signal::Terminate},
       {Signal::Terminate, Signal::HangUp},
       {Signal::HangUp, Signal::Terminate},
       {Signal::HangUp},
       {Signal::HangUp, Signal::HangUp}}};
  constexpr unsigned UnsignaledWeight = 19;
  for (unsigned Gateway = 0; Gateway < m_Fleet.gateways(); ++Gateway) {
    const unsigned Drawn = draw(0, Sequences.size() + UnsignaledWeight - 1);
    if (Drawn >= Sequences.size())
      continue;
    for (const Signal Kind : Sequences[Drawn])
      sendSignal(Gateway, Kind);
  }
}

void FaultInjector::sendSignal(unsigned Gateway, Signal Kind) {
  m_History.push_back(fmt::format("signal {} to {}", static_cast<int>(Kind),
                                  m_Fleet.gatewayName(Gateway)));
  m_Fleet.signal(Gateway, Kind);
}

void FaultInjector::configure() {
  m_History.push_back("configuration change");
  m_Fleet.configure();
}

void FaultInjector::beginFault(BootTime Now) {
  switch (draw(0, 11)) {
  case 0:
  case 1:
  case 2:
    return beginSignal(Now);
  case 3:
  case 4:
    return beginLink(Now);
  case 5:
    return beginStore(Now);
  case 6:
  case 7:
  case 8:
    return beginServer(Now);
  case 9:
    return beginReplacement(Now);
  default:
    return configure();
  }
}

void FaultInjector::beginSignal(BootTime Now) {
  const unsigned Gateway = draw(0, m_Fleet.gateways() - 1);
  const std::string GatewayName = m_Fleet.gatewayName(Gateway);
  const auto Kind = static_cast<Signal>(draw(0, 3));
  const std::string Name =
      fmt::format("signal {} to {}", static_cast<int>(Kind), GatewayName);
  if (isActive(Name))
    return;
  m_History.push_back(Name);
  if (Kind != Signal::HangUp && Kind != Signal::Terminate)
    m_Checker.recordFault(GatewayName, Now);
  m_Fleet.signal(Gateway, Kind);
  if (Kind == Signal::Pause)
    activate(Name, {GatewayName}, randomTime(Now, 100, 4000),
             [this, Gateway] { m_Fleet.resume(Gateway); });
}

void FaultInjector::beginLink(BootTime Now) {
  const LinkFault Mode = LinkFaults[draw(0, LinkFaults.size() - 1)];
  const unsigned Kind = draw(0, 2);
  const unsigned Index =
      draw(0, (Kind == 2 ? m_Fleet.servers() : m_Fleet.gateways()) - 1);
  const std::string Name = fmt::format("link {} {}", Kind, Index);
  if (isActive(Name))
    return;
  m_History.push_back(fmt::format("{} fault {}", Name, static_cast<int>(Mode)));
  const auto SetMode = [this, Kind, Index](LinkFault Fault) {
    m_Fleet.setLink(static_cast<Link>(Kind), Index, Fault);
  };
  SetMode(Mode);
  using Parts = std::vector<std::string>;
  activate(
      Name,
      Kind == 2
          ? Parts{InvariantChecker::AllGateways, InvariantChecker::ServerLinks}
          : Parts{m_Fleet.gatewayName(Index)},
      randomTime(Now, 200, 4000), [SetMode] { SetMode(LinkFault::None); },
      Kind == 2 && losesAnswers(Mode) ? SoakFleet::serverPrefix(Index)
                                      : std::string());
}

void FaultInjector::beginStore(BootTime Now) {
  if (isActive("store"))
    return;
  testing::StandInStore &Store = m_Fleet.store();
  const unsigned Kind = draw(0, 4);
  // The store is later restored from a copy of its present state.
  const bool RestoresCopy = m_CopyRandom() % 3 == 0;
  if (RestoresCopy)
    Store.saveBackup();
  m_History.push_back(fmt::format(
      "store fault {}{}", Kind, RestoresCopy ? ", restored from a copy" : ""));
  Store.Unavailable = Kind == 0;
  Store.Silent = Kind == 1;
  Store.Delay = Kind == 2 ? milliseconds(draw(50, 600)) : milliseconds(0);
  Store.ResponseLossRate = Kind == 3 ? 0.4 : 0;
  Store.HistoryExpired = Kind == 4;
  const auto Repair = [this, &Store, RestoresCopy] {
    Store.Unavailable = Store.Silent = Store.HistoryExpired = false;
    Store.Delay = milliseconds(0);
    Store.ResponseLossRate = 0;
    if (!RestoresCopy)
      return;
    Store.restoreBackup();
    m_Fleet.rewriteEntries();
  };
  activate("store", {InvariantChecker::AllGateways}, randomTime(Now, 300, 5000),
           Repair);
}

/// Some faulty servers send more than one answer, or one without end.
Behavior FaultInjector::withOtherShape(Behavior Drawn) {
  if (Drawn == Behavior::WrongAttemptId && m_ShapeRandom() % 2 == 0)
    return Behavior::SendsSecondCopies;
  if (Drawn == Behavior::ServerError && m_ShapeRandom() % 3 == 0)
    return Behavior::Endless;
  return Drawn;
}

void FaultInjector::beginServer(BootTime Now) {
  const unsigned Server = draw(0, m_Fleet.servers() - 1);
  const std::string Name = fmt::format("server {}", Server);
  if (isActive(Name))
    return;
  const Behavior Drawn = Behaviors[draw(0, Behaviors.size() - 1)];
  const bool IsLimited = m_HasCrashesAndLimits && m_LimitRandom() % 3 == 0;
  const Behavior Chosen =
      IsLimited ? Behavior::RateLimited : withOtherShape(Drawn);
  // Sometimes all servers fail at once, which causes a retry storm that the
  // retry budget has to bound.
  const bool AffectsAll = draw(0, 4) == 0;
  const auto SetBehavior = [this, Server, AffectsAll](Behavior NewBehavior) {
    for (unsigned I = 0; I < m_Fleet.servers(); ++I)
      if (AffectsAll || I == Server)
        m_Fleet.setBehavior(I, NewBehavior);
  };
  m_History.push_back(fmt::format("{}{} behavior {}", Name,
                                  AffectsAll ? " and all others" : "",
                                  static_cast<int>(Chosen)));
  SetBehavior(Chosen);
  const auto Until = Chosen == Behavior::RateLimited
                         ? randomTime(Now, 4000, MaximumLimitMs)
                         : randomTime(Now, 300, 4000);
  activate(Name, {InvariantChecker::Servers}, Until,
           [SetBehavior] { SetBehavior(Behavior::Healthy); });
}

/// Independent of the other faults, so that it overlaps them.
void FaultInjector::beginPause(BootTime Now) {
  const auto Server =
      static_cast<unsigned>(m_FeedbackRandom() % m_Fleet.servers());
  const std::string Name = fmt::format("server {}", Server);
  if (isActive(Name))
    return;
  const bool AffectsAll = m_FeedbackRandom() % 6 == 0;
  m_History.push_back(fmt::format("{}{} asks for a pause", Name,
                                  AffectsAll ? " and all others" : ""));
  const auto SetBehavior = [this, Server, AffectsAll](Behavior NewBehavior) {
    for (unsigned I = 0; I < m_Fleet.servers(); ++I)
      if (AffectsAll || I == Server)
        m_Fleet.setBehavior(I, NewBehavior);
  };
  SetBehavior(Behavior::AsksForPause);
  constexpr unsigned MaximumTimeMs = 3000;
  activate(Name, {InvariantChecker::Servers},
           Now + milliseconds(m_FeedbackRandom() % MaximumTimeMs),
           [SetBehavior] { SetBehavior(Behavior::Healthy); });
}

void FaultInjector::beginReplacement(BootTime Now) {
  const unsigned Server = draw(0, m_Fleet.servers() - 1);
  const std::string Name = fmt::format("replacement {}", Server);
  if (isActive(Name))
    return;
  const bool IsPlanned = m_PlannedOnly || draw(0, 1) == 1;
  m_History.push_back(fmt::format("{}, drained first: {}", Name, IsPlanned));
  // A drained server still receives requests for some seconds; a crashed one
  // may be replaced at its address at once.
  const bool OnlyInResponses =
      m_HasServerFeedback && m_FeedbackRandom() % 2 == 0;
  if (IsPlanned && OnlyInResponses)
    m_Fleet.leave(Server);
  else if (IsPlanned)
    m_Fleet.drain(Server);
  activate(Name, {IsPlanned ? "none" : InvariantChecker::Servers},
           randomTime(Now, IsPlanned ? 3500 : 0, 6000),
           [this, Server] { m_Fleet.replace(Server); });
}

} // namespace figlift::soak
