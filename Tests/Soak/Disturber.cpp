//===- Disturber.cpp - Seeded faults, one after and over another ----------===//
//
// See Disturber.h.
//
//===----------------------------------------------------------------------===//

#include "Disturber.h"

#include <algorithm>
#include <array>

#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

using std::chrono::milliseconds;

namespace {
constexpr size_t MostAtOnce = 4;
/// Pause between two faults: about 25 in ten seconds, so that they overlap.
constexpr unsigned ShortestPauseMs = 30;
constexpr unsigned LongestPauseMs = 700;
constexpr std::array LinkFaults = {LinkFault::Cut, LinkFault::Freeze,
                                   LinkFault::LoseRequests,
                                   LinkFault::LoseAnswers, LinkFault::Delay};
constexpr std::array Manners = {Manner::Fails, Manner::BreaksOff,
                                Manner::Late,  Manner::Garbles,
                                Manner::Full,  Manner::Silent};
/// A limit binds three seconds after it was first named.
constexpr unsigned LongestLimitMs = 9000;
} // namespace

unsigned Disturber::draw(unsigned From, unsigned To) {
  return std::uniform_int_distribution<unsigned>(From, To)(m_Random);
}

BootTime Disturber::later(BootTime Now, unsigned From, unsigned To) {
  return Now + milliseconds(draw(From, To));
}

bool Disturber::isOpen(const std::string &Name) const {
  return std::any_of(m_Open.begin(), m_Open.end(),
                     [&](const Open &Each) { return Each.Name == Name; });
}

void Disturber::open(const std::string &Name, const std::string &Whom,
                     BootTime Until, std::function<void()> Mend) {
  // At once: what is cut before the next tick is cut by it, too.
  m_Book.disturbed(Whom, BootClock::now());
  m_Open.push_back({Name, Whom, Until, std::move(Mend)});
}

void Disturber::tick(BootTime Now, bool May) {
  for (const Open &Each : m_Open)
    m_Book.disturbed(Each.Whom, Now);
  std::vector<Open> Over;
  std::erase_if(m_Open, [&](Open &Each) {
    if (Now < Each.Until)
      return false;
    Over.push_back(std::move(Each));
    return true;
  });
  for (const Open &Each : Over)
    Each.Mend();
  if (!May || Now < m_Next || m_Open.size() >= MostAtOnce)
    return;
  m_Next = later(Now, ShortestPauseMs, LongestPauseMs);
  m_PlannedOnly ? beginPlanned(Now) : begin(Now);
}

void Disturber::beginPlanned(BootTime Now) {
  switch (draw(0, 6)) {
  case 0:
    return beginLeaving(Now);
  case 1:
  case 2:
    return configure();
  default:
    return roll();
  }
}

/// One gateway in eight is stopped, some are given another grace, some both at
/// once in either order.
void Disturber::roll() {
  static const std::array<std::vector<Signal>, 5> Series = {
      {{Signal::Terminate},
       {Signal::Terminate, Signal::HangUp},
       {Signal::HangUp, Signal::Terminate},
       {Signal::HangUp},
       {Signal::HangUp, Signal::HangUp}}};
  constexpr unsigned Untouched = 19;
  for (unsigned Which = 0; Which < m_Fleet.gateways(); ++Which) {
    const unsigned Drawn = draw(0, Series.size() + Untouched - 1);
    if (Drawn >= Series.size())
      continue;
    for (const Signal Each : Series[Drawn])
      sendSignal(Which, Each);
  }
}

void Disturber::sendSignal(unsigned Which, Signal What) {
  m_History.push_back(fmt::format("signal {} to {}", static_cast<int>(What),
                                  m_Fleet.gatewayName(Which)));
  m_Fleet.signal(Which, What);
}

void Disturber::configure() {
  m_History.push_back("a configuration");
  m_Fleet.configure();
}

void Disturber::begin(BootTime Now) {
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
    return beginLeaving(Now);
  default:
    return configure();
  }
}

void Disturber::beginSignal(BootTime Now) {
  const unsigned Which = draw(0, m_Fleet.gateways() - 1);
  const std::string Who = m_Fleet.gatewayName(Which);
  const auto What = static_cast<Signal>(draw(0, 3));
  const std::string Name =
      fmt::format("signal {} to {}", static_cast<int>(What), Who);
  if (isOpen(Name))
    return;
  m_History.push_back(Name);
  if (What != Signal::HangUp && What != Signal::Terminate)
    m_Book.disturbed(Who, Now);
  m_Fleet.signal(Which, What);
  if (What == Signal::Pause)
    open(Name, Who, later(Now, 100, 4000),
         [this, Which] { m_Fleet.wake(Which); });
}

void Disturber::beginLink(BootTime Now) {
  const LinkFault How = LinkFaults[draw(0, LinkFaults.size() - 1)];
  const unsigned Kind = draw(0, 2);
  const unsigned Which =
      draw(0, (Kind == 2 ? m_Fleet.servers() : m_Fleet.gateways()) - 1);
  const std::string Name = fmt::format("link {} {}", Kind, Which);
  if (isOpen(Name))
    return;
  m_History.push_back(fmt::format("{} fault {}", Name, static_cast<int>(How)));
  const auto Set = [this, Kind, Which](LinkFault Fault) {
    m_Fleet.setLink(static_cast<Link>(Kind), Which, Fault);
  };
  Set(How);
  open(Name, Kind == 2 ? PromiseBook::Everything : m_Fleet.gatewayName(Which),
       later(Now, 200, 4000), [Set] { Set(LinkFault::Mended); });
}

void Disturber::beginStore(BootTime Now) {
  if (isOpen("store"))
    return;
  testing::StandInStore &Store = m_Fleet.store();
  const unsigned Kind = draw(0, 4);
  // It comes back from a copy of this moment.
  const bool Forgets = m_CopyRandom() % 3 == 0;
  if (Forgets)
    Store.saveBackup();
  m_History.push_back(fmt::format("store fault {}{}", Kind,
                                  Forgets ? ", back from a copy" : ""));
  Store.Unavailable = Kind == 0;
  Store.Silent = Kind == 1;
  Store.Delay = Kind == 2 ? milliseconds(draw(50, 600)) : milliseconds(0);
  Store.ResponseLossRate = Kind == 3 ? 0.4 : 0;
  Store.HistoryExpired = Kind == 4;
  const auto Mend = [this, &Store, Forgets] {
    Store.Unavailable = Store.Silent = Store.HistoryExpired = false;
    Store.Delay = milliseconds(0);
    Store.ResponseLossRate = 0;
    if (!Forgets)
      return;
    Store.restoreBackup();
    m_Fleet.writeAgain();
  };
  open("store", PromiseBook::Everything, later(Now, 300, 5000), Mend);
}

void Disturber::beginServer(BootTime Now) {
  const unsigned Which = draw(0, m_Fleet.servers() - 1);
  const std::string Name = fmt::format("server {}", Which);
  if (isOpen(Name))
    return;
  const Manner Drawn = Manners[draw(0, Manners.size() - 1)];
  const bool Limits = m_HasServersInNeed && m_LimitRandom() % 3 == 0;
  const Manner How = Limits ? Manner::Limited : Drawn;
  // Now and then all of them at once: a storm of repeats, which the budget has
  // to bound.
  const bool All = draw(0, 4) == 0;
  const auto Behave = [this, Which, All](Manner Wanted) {
    for (unsigned Each = 0; Each < m_Fleet.servers(); ++Each)
      if (All || Each == Which)
        m_Fleet.behave(Each, Wanted);
  };
  m_History.push_back(fmt::format("{}{} manner {}", Name, All ? " and all" : "",
                                  static_cast<int>(How)));
  Behave(How);
  const auto Until = How == Manner::Limited ? later(Now, 4000, LongestLimitMs)
                                            : later(Now, 300, 4000);
  open(Name, PromiseBook::Servers, Until, [Behave] { Behave(Manner::Good); });
}

void Disturber::beginLeaving(BootTime Now) {
  const unsigned Which = draw(0, m_Fleet.servers() - 1);
  const std::string Name = fmt::format("leaving {}", Which);
  if (isOpen(Name))
    return;
  const bool Planned = m_PlannedOnly || draw(0, 1) == 1;
  m_History.push_back(fmt::format("{} {}", Name, Planned));
  // A server that leaves by plan takes requests for seconds; one that crashes
  // has another behind its address at once.
  if (Planned)
    m_Fleet.drain(Which);
  open(Name, Planned ? "nobody" : PromiseBook::Servers,
       later(Now, Planned ? 3500 : 0, 6000),
       [this, Which] { m_Fleet.replace(Which); });
}

} // namespace figlift::soak
