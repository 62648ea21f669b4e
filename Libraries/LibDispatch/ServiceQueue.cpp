//===- ServiceQueue.cpp - Requests waiting for a plain service ------------===//
//
// Each decision removes the requests that would wait too long, and then sends
// as many of the others, in order, as this gateway's part of the capacity
// allows.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServiceQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace figlift::dispatch {

namespace {

/// The part of the capacity that is shared evenly; the rest is shared by
/// demand. It lets a gateway serve new callers before its demand is known to
/// the others.
constexpr double EvenFraction = 0.2;
/// Servers are not assumed to process a request faster than this.
constexpr Milliseconds MinimumWorkTime{1};
constexpr double MinimumPenalty = 0.01;
/// Successive multiples of it are evenly distributed, modulo 1.
constexpr double GoldenRatio = 0.6180339887;

constexpr std::string_view NoServer = "no server takes new requests";
constexpr std::string_view TooLate = "all servers are full";
constexpr std::string_view QueueFull = "the queue is full";

bool isExcluded(const QueuedRequest &Request, const QueueServer &Server) {
  return std::find(Request.Excluded.begin(), Request.Excluded.end(),
                   Server.Id) != Request.Excluded.end();
}

/// Whether a server that the request may use is in service.
bool hasServer(const QueuedRequest &Request, const QueueView &View) {
  return std::any_of(View.Servers.begin(), View.Servers.end(),
                     [&](const QueueServer &Server) {
                       return Server.InService && !isExcluded(Request, Server);
                     });
}

} // namespace

bool ServiceQueue::precedes(const Entry &A, const Entry &B) {
  return std::tie(A.Request.Priority, A.Request.Deadline) <
         std::tie(B.Request.Priority, B.Request.Deadline);
}

bool ServiceQueue::isRejecting(const Observation &Server, BootTime Now) const {
  return Server.LastRejection &&
         Now - *Server.LastRejection < m_Options.ObservationLifetime;
}

double ServiceQueue::queueOf(const Observation &Server, BootTime Now) const {
  const double HalfLives =
      Milliseconds(Now - Server.QueueSeen) / m_Options.ObservationLifetime;
  return Server.Queue * std::exp2(-std::max(0.0, HalfLives));
}

void ServiceQueue::removeOldObservations(BootTime Now) {
  if (Now - m_OldObservationsRemovedAt < m_Options.ObservationLifetime)
    return;
  m_OldObservationsRemovedAt = Now;
  std::erase_if(m_Servers, [&](const auto &Server) {
    return !isRejecting(Server.second, Now) &&
           Now - Server.second.LastAnswer >= m_Options.ObservationLifetime;
  });
}

bool ServiceQueue::recordRejection(const std::string &TargetId, unsigned Slots,
                                   double Items, BootTime Now) {
  removeOldObservations(Now);
  if (Items < m_Options.MinimumOccupancy * Slots)
    return false;
  Observation &Server = m_Servers[TargetId];
  const double Queued = std::max(0.0, Items - 1 - Slots);
  const double Previous = queueOf(Server, Now);
  Server.Queue = isRejecting(Server, Now)
                     ? Previous + m_Options.Smoothing * (Queued - Previous)
                     : std::max(Queued, Previous);
  Server.QueueSeen = Now;
  Server.LastRejection = Now;
  return true;
}

void ServiceQueue::recordAnswer(const std::string &TargetId, unsigned Slots,
                                double Items, Milliseconds Took, BootTime Now) {
  removeOldObservations(Now);
  Observation &Server = m_Servers[TargetId];
  const double Queued = std::max(0.0, Items - Slots);
  if (Queued > queueOf(Server, Now)) {
    Server.Queue = Queued;
    Server.QueueSeen = Now;
  }
  // Items beyond the slots have waited for those before them.
  const Milliseconds Work = Took / (1 + Queued / std::max(1U, Slots));
  if (Server.WorkTime &&
      Now - Server.LastAnswer < m_Options.ObservationLifetime)
    *Server.WorkTime += m_Options.Smoothing * (Work - *Server.WorkTime);
  else
    Server.WorkTime = Work;
  Server.LastAnswer = Now;
}

bool ServiceQueue::isActive(BootTime Now) const {
  return !m_Waiting.empty() ||
         std::any_of(m_Servers.begin(), m_Servers.end(),
                     [&](const auto &Server) {
                       return isRejecting(Server.second, Now);
                     });
}

double ServiceQueue::fullAt(const QueueServer &Server, BootTime Now) const {
  const double Slots = std::max(1U, Server.Slots);
  const auto Found = m_Servers.find(Server.Id);
  const double Queue =
      Found == m_Servers.end() ? 0 : queueOf(Found->second, Now);
  if (Found != m_Servers.end() && isRejecting(Found->second, Now))
    return Slots + Queue / 2;
  // A gateway with few requests may never have seen the server with a queue.
  // Until the server rejects one, it is assumed to queue as many as it runs.
  return Slots + std::max(Queue, Slots) / 2;
}

double ServiceQueue::freeSlots(const QueueView &View, BootTime Now) const {
  double Free = 0;
  for (const QueueServer &Server : View.Servers)
    if (Server.Open && Server.InService)
      Free += std::max(0.0, fullAt(Server, Now) - Server.Items);
  return Free;
}

size_t ServiceQueue::maximumRequests(const QueueView &View) const {
  size_t Slots = 0;
  for (const QueueServer &Server : View.Servers)
    Slots += Server.Slots;
  return std::max(m_Options.MinimumRequests,
                  Slots / std::max<size_t>(1, View.Gateways));
}

double ServiceQueue::ownShare(const QueueView &View) const {
  const double Even =
      1.0 / static_cast<double>(std::max<size_t>(1, View.Gateways));
  if (!View.HearsOthers)
    return Even;
  double Own = View.OwnDemand;
  double Others = View.OthersDemand;
  if (Others <= 0) {
    // The others have not reported demand yet, but may have items.
    Own = static_cast<double>(m_Waiting.size());
    for (const QueueServer &Server : View.Servers) {
      Own += Server.OwnItems;
      Others += std::max(0.0, Server.Items - Server.OwnItems);
    }
  }
  if (Own + Others <= 0)
    return Even;
  return EvenFraction * Even + (1 - EvenFraction) * Own / (Own + Others);
}

Milliseconds ServiceQueue::workTime(const QueueServer &Server) const {
  const auto Found = m_Servers.find(Server.Id);
  return std::max(MinimumWorkTime,
                  Found != m_Servers.end() && Found->second.WorkTime
                      ? *Found->second.WorkTime
                      : Server.WorkTime);
}

Milliseconds ServiceQueue::expectedAnswerTime(const QueueView &View,
                                              BootTime Now) const {
  Milliseconds Sum{0};
  double Count = 0;
  for (const QueueServer &Server : View.Servers) {
    if (!Server.InService)
      continue;
    Sum += workTime(Server) * fullAt(Server, Now) / std::max(1U, Server.Slots);
    ++Count;
  }
  return Sum / std::max(1.0, Count);
}

std::optional<Milliseconds> ServiceQueue::expectedWait(size_t Ahead,
                                                       const QueueView &View,
                                                       BootTime Now) const {
  // Requests per millisecond that all servers process.
  double Rate = 0;
  for (const QueueServer &Server : View.Servers) {
    if (!Server.InService)
      continue;
    Rate += std::max(1U, Server.Slots) / workTime(Server).count();
  }
  if (Rate <= 0)
    return std::nullopt;
  // Free slots are taken in turn, see mayTakeFreeSlot().
  const double FreeRate =
      std::min(1.0, freeSlots(View, Now) / static_cast<double>(std::max<size_t>(
                                               1, View.Gateways))) /
      Milliseconds(m_Options.ViewAge).count();
  return Milliseconds(static_cast<double>(Ahead + 1) /
                      (Rate * ownShare(View) + FreeRate));
}

std::optional<BootTime> ServiceQueue::nextLimit() const {
  std::optional<BootTime> Next;
  for (const Entry &Waiting : m_Waiting)
    if (!Next || Waiting.Request.WaitUntil < *Next)
      Next = Waiting.Request.WaitUntil;
  return Next;
}

void ServiceQueue::remove(size_t Index) {
  const auto Position = m_Waiting.begin() + static_cast<std::ptrdiff_t>(Index);
  m_Bytes -= Position->Request.Bytes;
  m_Waiting.erase(Position);
}

std::optional<size_t> ServiceQueue::leave(uint64_t Id) {
  for (size_t Index = 0; Index < m_Waiting.size(); ++Index)
    if (m_Waiting[Index].Request.Id == Id) {
      remove(Index);
      return Index;
    }
  return std::nullopt;
}

std::chrono::milliseconds
ServiceQueue::retryAfter(std::optional<Milliseconds> Wait) const {
  if (!Wait || *Wait >= m_Options.MaximumRetryAfter)
    return Wait ? m_Options.MaximumRetryAfter : m_Options.MinimumRetryAfter;
  return std::max(m_Options.MinimumRetryAfter,
                  std::chrono::ceil<std::chrono::milliseconds>(*Wait));
}

void ServiceQueue::refuseAt(size_t Index, std::string_view Reason,
                            std::chrono::milliseconds RetryAfter, BootTime Now,
                            std::vector<QueueAction> &Actions) {
  const Entry &Waiting = m_Waiting[Index];
  Actions.push_back(QueueRefusal{Waiting.Request.Id, Reason, RetryAfter,
                                 Milliseconds(Now - Waiting.Arrived), Index});
  remove(Index);
}

std::vector<QueueAction>
ServiceQueue::refuse(uint64_t Id, std::string_view Reason,
                     std::chrono::milliseconds RetryAfter, BootTime Now) {
  std::vector<QueueAction> Actions;
  for (size_t Index = 0; Index < m_Waiting.size(); ++Index)
    if (m_Waiting[Index].Request.Id == Id) {
      refuseAt(Index, Reason, RetryAfter, Now, Actions);
      break;
    }
  return Actions;
}

std::vector<QueueAction>
ServiceQueue::refuseAll(std::string_view Reason,
                        std::chrono::milliseconds RetryAfter, BootTime Now) {
  std::vector<QueueAction> Actions;
  while (!m_Waiting.empty())
    refuseAt(0, Reason, RetryAfter, Now, Actions);
  return Actions;
}

/// Refuses the requests for which no slot is expected in time.
void ServiceQueue::refuseHopeless(const QueueView &View, BootTime Now,
                                  std::vector<QueueAction> &Actions) {
  for (size_t Index = 0; Index < m_Waiting.size();) {
    const QueuedRequest &Request = m_Waiting[Index].Request;
    const auto Wait = expectedWait(Index, View, Now);
    if (!hasServer(Request, View))
      refuseAt(Index, NoServer, m_Options.MinimumRetryAfter, Now, Actions);
    else if (!Wait || *Wait > Milliseconds(Request.WaitUntil - Now))
      refuseAt(Index, TooLate,
               retryAfter(expectedWait(m_Waiting.size(), View, Now)), Now,
               Actions);
    else
      ++Index;
  }
}

/// Whether this gateway uses less than its part of the capacity.
bool ServiceQueue::isBelowOwnPart(const QueueView &View, BootTime Now) const {
  double Capacity = 0;
  double Own = 0;
  for (const QueueServer &Server : View.Servers) {
    if (!Server.InService)
      continue;
    Capacity += fullAt(Server, Now);
    Own += Server.OwnItems;
  }
  return Own < roundInTurn(ownShare(View) * Capacity);
}

/// Whether this gateway may take one more of the free slots that it sees. Other
/// gateways see the same ones, so within the age of a view it takes only its
/// part of them, and in turn one if there are more gateways than free slots.
bool ServiceQueue::mayTakeFreeSlot(const QueueView &View, BootTime Now) {
  std::erase_if(m_ExtraSends,
                [&](BootTime At) { return Now - At >= m_Options.ViewAge; });
  const auto Taken = static_cast<double>(m_ExtraSends.size());
  // The extra sends are among the items, so they no longer appear free.
  const double Free = freeSlots(View, Now) + Taken;
  const double EvenPart =
      Free / static_cast<double>(std::max<size_t>(1, View.Gateways));
  // Nothing waits while each gateway may take a slot.
  if (Free - Taken >= static_cast<double>(View.Gateways))
    return true;
  return Taken <
         roundInTurn(std::max(ownShare(View) * Free, std::min(1.0, EvenPart)));
}

/// The fraction of a slot that remains is granted in turns.
double ServiceQueue::roundInTurn(double Part) const {
  const double Whole = std::floor(Part);
  return Whole + (m_TurnDraw < Part - Whole ? 1 : 0);
}

/// Chooses at random: the gateways have similar views, and would all choose the
/// same best server. Within the own part, the own items decide, which are known
/// exactly. If the items of all gateways decided, whose reports are older than
/// a request takes, the servers would be overfull and idle by turns. A server
/// counts as unavailable at twice the queue at which it counts as full.
const QueueServer *ServiceQueue::chooseServer(const QueuedRequest &Request,
                                              const QueueView &View,
                                              bool IsOwnPart,
                                              BootTime Now) const {
  const auto Weight = [&](const QueueServer &Server) {
    if (!Server.Open || !Server.InService || isExcluded(Request, Server))
      return 0.0;
    const double FullAt = fullAt(Server, Now);
    const double Limit = IsOwnPart ? 2 * FullAt - Server.Slots : FullAt;
    if (Server.Items >= Limit)
      return 0.0;
    const double Desirable =
        IsOwnPart ? FullAt / ((Server.OwnItems + 1) * (Server.OwnItems + 1))
                  : FullAt - Server.Items;
    return Desirable / std::max(MinimumPenalty, Server.Penalty);
  };
  double Total = 0;
  for (const QueueServer &Server : View.Servers)
    Total += Weight(Server);
  double Left = View.Draw * Total;
  const QueueServer *Chosen = nullptr;
  for (const QueueServer &Server : View.Servers) {
    const double Part = Weight(Server);
    if (Part <= 0)
      continue;
    Chosen = &Server;
    if (Left < Part)
      break;
    Left -= Part;
  }
  return Chosen;
}

void ServiceQueue::sendWaiting(QueueView &View, BootTime Now,
                               std::vector<QueueAction> &Actions) {
  if (Now - m_TurnStart >= m_Options.TurnTime) {
    m_TurnStart = Now;
    m_TurnDraw = View.Draw;
  }
  for (size_t Index = 0; Index < m_Waiting.size();) {
    const Entry &Waiting = m_Waiting[Index];
    const bool IsOwnPart = isBelowOwnPart(View, Now);
    if (!IsOwnPart && !mayTakeFreeSlot(View, Now))
      return;
    // The draw stays uniform and differs for each request.
    View.Draw = std::fmod(View.Draw + GoldenRatio, 1.0);
    const QueueServer *Server =
        chooseServer(Waiting.Request, View, IsOwnPart, Now);
    if (!Server) {
      // Others may use servers that this request must not use.
      ++Index;
      continue;
    }
    if (!IsOwnPart)
      m_ExtraSends.push_back(Now);
    Actions.push_back(QueueSend{Waiting.Request.Id, Server->Id,
                                Milliseconds(Now - Waiting.Arrived), Index});
    const auto Sent =
        std::find_if(View.Servers.begin(), View.Servers.end(),
                     [&](const auto &Any) { return &Any == Server; });
    ++Sent->Items;
    ++Sent->OwnItems;
    remove(Index);
  }
}

std::vector<QueueAction> ServiceQueue::check(const QueueView &View,
                                             BootTime Now) {
  std::vector<QueueAction> Actions;
  QueueView Current = View;
  // Requests whose time is over are never sent, also after the process has
  // been stopped for a while.
  for (size_t Index = 0; Index < m_Waiting.size();)
    if (Now >= m_Waiting[Index].Request.WaitUntil)
      refuseAt(Index, TooLate,
               retryAfter(expectedWait(m_Waiting.size(), Current, Now)), Now,
               Actions);
    else
      ++Index;
  sendWaiting(Current, Now, Actions);
  refuseHopeless(Current, Now, Actions);
  return Actions;
}

std::vector<QueueAction> ServiceQueue::arrive(QueuedRequest Request,
                                              const QueueView &View,
                                              BootTime Now) {
  Entry Arrived{std::move(Request), Now};
  m_Bytes += Arrived.Request.Bytes;
  m_Waiting.insert(
      std::upper_bound(m_Waiting.begin(), m_Waiting.end(), Arrived, precedes),
      std::move(Arrived));
  std::vector<QueueAction> Actions = check(View, Now);
  while (m_Waiting.size() > maximumRequests(View) ||
         m_Bytes > m_Options.MaximumBytes)
    refuseAt(m_Waiting.size() - 1, QueueFull,
             retryAfter(expectedWait(m_Waiting.size(), View, Now)), Now,
             Actions);
  return Actions;
}

} // namespace figlift::dispatch
