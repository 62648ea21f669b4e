//===- ServiceQueues.cpp - The queues of all plain services ---------------===//
//
// See ServiceQueues.h.
//
//===----------------------------------------------------------------------===//

#include "ServiceQueues.h"

#include "Context.h"

#include "LibLog/Guard.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>

namespace figlift::gateway {

using dispatch::Milliseconds;
using std::chrono::milliseconds;

namespace {

/// Longest time between two checks while a request waits. Slots also become
/// free without an event at this gateway, when a rejection is forgotten.
constexpr milliseconds CheckInterval{20};
/// Another gateway can accept the request at once.
constexpr milliseconds StoppingRetryAfter{50};
/// The next configuration may have the service or the route again.
constexpr milliseconds RemovedRetryAfter{500};

metrics::Counter &dequeued(metrics::Registry &Metrics, const char *Outcome) {
  return Metrics.counter("figlift_gateway_dequeued_requests_total",
                         "Requests that waited for a full service, by how the "
                         "wait ended",
                         {{"outcome", Outcome}});
}

} // namespace

ServiceQueues::ServiceQueues(Context &Shared)
    : m_Shared(Shared), m_Timer(Shared.Loop),
      m_Queued(
          Shared.Metrics.counter("figlift_gateway_queued_requests_total",
                                 "Requests that waited for a full service")),
      m_Sent(dequeued(Shared.Metrics, "sent")),
      m_Refused(dequeued(Shared.Metrics, "refused")),
      m_Left(dequeued(Shared.Metrics, "left")) {}

bool ServiceQueues::isActive(const std::string &Service, BootTime Now) const {
  const auto Found = m_Queues.find(Service);
  return Found != m_Queues.end() && Found->second.isActive(Now);
}

bool ServiceQueues::isActive(BootTime Now) const {
  return std::any_of(m_Queues.begin(), m_Queues.end(), [&](const auto &Queue) {
    return Queue.second.isActive(Now);
  });
}

dispatch::QueueView ServiceQueues::view(const std::string &Service,
                                        BootTime Now) {
  dispatch::QueueView View;
  View.Draw = m_Shared.draw();
  const OpenTargets::List &Used = m_Shared.Open.used(Service);
  const std::vector<std::string> Limited = m_Shared.Limits.exhausted(Now);
  const dispatch::ServicePlannerOptions &Planner = m_Shared.Services.options();
  for (const dispatch::Target *Target : Used) {
    dispatch::QueueServer Server;
    Server.Id = Target->Id;
    Server.Slots = Target->Slots;
    Server.Items = m_Shared.Loads.items(Target->Id, Now);
    Server.OwnItems =
        static_cast<double>(m_Shared.Loads.localItems(Target->Id));
    const double Slowness = m_Shared.Loads.slowness(Target->Id, Now);
    Server.WorkTime = Planner.AssumedWork * Slowness;
    Server.Penalty =
        Slowness * (1 + Planner.FailurePenalty *
                            (m_Shared.Loads.failureShare(Target->Id, Now) +
                             m_Shared.Loads.errorShare(Target->Id, Now)));
    const bool IsBackingOff =
        m_Shared.Feedback.backoffs().isBackingOff(Target->start(), Now);
    Server.InService =
        !IsBackingOff && !m_Shared.Loads.isEjected(Target->Id, Now);
    Server.Open =
        !m_Shared.Loads.isExcluded(Target->Id, Now) &&
        std::find(Limited.begin(), Limited.end(), Target->Id) == Limited.end();
    View.Servers.push_back(std::move(Server));
  }
  // Each server is used by a part of the gateways if each gateway uses a part
  // of the servers.
  const size_t All = std::max<size_t>(1, m_Shared.Open.all(Service).size());
  const double Users =
      static_cast<double>(Used.size()) / static_cast<double>(All);
  View.Gateways = std::max<size_t>(
      1, static_cast<size_t>(static_cast<double>(m_Sharing) * Users));
  View.HearsOthers = m_Live.size() + 1 >= m_Sharing;
  if (const auto Meter = m_Shared.Demands.find(Service);
      Meter != m_Shared.Demands.end())
    View.OwnDemand = Meter->second.demand(Now).sum();
  for (const std::string &Peer : m_Live)
    if (const auto Reported = m_Shared.PeerDemands.find(Peer);
        Reported != m_Shared.PeerDemands.end())
      for (const dispatch::ServiceDemand &Demand : Reported->second)
        if (Demand.Service == Service)
          View.OthersDemand += Demand.Demand.sum() * Users;
  return View;
}

uint64_t ServiceQueues::arrive(const std::string &Service,
                               dispatch::QueuedRequest Request,
                               const std::shared_ptr<QueueOwner> &Owner) {
  const BootTime Now = BootClock::now();
  // Recorded only while servers are full, so that reports stay as they are
  // otherwise. The unit does not matter, see LimitFleet.
  m_Shared.Demands[Service].recordRequest(Milliseconds(0), Milliseconds(1),
                                          Now);
  const dispatch::QueueView View = view(Service, Now);
  if (std::none_of(View.Servers.begin(), View.Servers.end(),
                   [](const auto &Server) { return Server.InService; }))
    return 0;
  const uint64_t Id = ++m_LastId;
  Request.Id = Id;
  m_Owners[Id] = {Owner, Service};
  apply(m_Queues[Service].arrive(std::move(Request), View, Now));
  if (m_Stopping)
    refuseAll(Service, "the process ends", StoppingRetryAfter);
  if (isWaiting(Id))
    m_Queued.add();
  armTimer();
  return Id;
}

void ServiceQueues::apply(const std::vector<dispatch::QueueAction> &Actions) {
  for (const dispatch::QueueAction &Action : Actions) {
    const uint64_t Id =
        std::visit([](const auto &Any) { return Any.Id; }, Action);
    const auto Found = m_Owners.find(Id);
    if (Found == m_Owners.end())
      continue;
    const auto Owner = Found->second.Owner.lock();
    m_Owners.erase(Found);
    if (!Owner)
      continue;
    if (const auto *Grant = std::get_if<dispatch::QueueSend>(&Action)) {
      if (Grant->Waited > Milliseconds(0))
        m_Sent.add();
      Owner->queueGranted(*Grant);
    } else {
      const auto &Refusal = std::get<dispatch::QueueRefusal>(Action);
      if (Refusal.Waited > Milliseconds(0))
        m_Refused.add();
      Owner->queueRefused(Refusal);
    }
  }
}

size_t ServiceQueues::leave(uint64_t Id) {
  const auto Found = m_Owners.find(Id);
  if (Found == m_Owners.end())
    return 0;
  const auto Ahead = m_Queues[Found->second.Service].leave(Id);
  m_Owners.erase(Found);
  m_Left.add();
  armTimer();
  return Ahead.value_or(0);
}

bool ServiceQueues::recordRejection(const dispatch::Target &Server,
                                    BootTime Now) {
  return m_Queues[Server.Service].recordRejection(
      Server.Id, Server.Slots, m_Shared.Loads.items(Server.Id, Now) + 1, Now);
}

void ServiceQueues::recordAnswer(const dispatch::Target &Server,
                                 Milliseconds Took, BootTime Now) {
  m_Queues[Server.Service].recordAnswer(
      Server.Id, Server.Slots, m_Shared.Loads.items(Server.Id, Now) + 1, Took,
      Now);
}

void ServiceQueues::wake() {
  if (m_Owners.empty() || std::exchange(m_CheckPending, true))
    return;
  boost::asio::post(m_Shared.Loop, [this] {
    m_CheckPending = false;
    checkAll();
  });
}

void ServiceQueues::checkAll() {
  const BootTime Now = BootClock::now();
  for (auto &Entry : m_Queues)
    if (Entry.second.size() > 0)
      log::guarded("queue", Entry.first, [&] {
        apply(Entry.second.check(view(Entry.first, Now), Now));
      });
  armTimer();
}

void ServiceQueues::armTimer() {
  if (m_Owners.empty() && m_TimerRunning)
    m_Timer.cancel();
  if (m_Owners.empty() || m_TimerRunning)
    return;
  m_TimerRunning = true;
  BootClock::duration Wait = CheckInterval;
  const BootTime Now = BootClock::now();
  for (const auto &[Service, Queue] : m_Queues)
    if (const auto Limit = Queue.nextLimit())
      Wait =
          std::clamp<BootClock::duration>(*Limit - Now, milliseconds(1), Wait);
  m_Timer.expires_after(Wait);
  m_Timer.async_wait([this](const boost::system::error_code &Stopped) {
    m_TimerRunning = false;
    // A request may have arrived after the timer was stopped.
    if (Stopped)
      return armTimer();
    checkAll();
  });
}

void ServiceQueues::setFleet(size_t Sharing, std::vector<std::string> Live) {
  m_Sharing = Sharing;
  m_Live = std::move(Live);
}

void ServiceQueues::refuseAll(const std::string &Service,
                              std::string_view Reason,
                              milliseconds RetryAfter) {
  apply(m_Queues[Service].refuseAll(Reason, RetryAfter, BootClock::now()));
}

void ServiceQueues::configurationChanged(const dispatch::Configuration &Newer) {
  std::vector<std::string> RemovedServices;
  for (const auto &[Name, Queue] : m_Queues)
    if (const dispatch::Service *Service = Newer.service(Name);
        !Service || Service->Engine)
      RemovedServices.push_back(Name);
  for (const std::string &Name : RemovedServices) {
    refuseAll(Name, "the service was removed", RemovedRetryAfter);
    m_Queues.erase(Name);
  }
  if (m_Owners.empty())
    return;
  std::set<std::string_view> Routes;
  for (const dispatch::Route &Route : Newer.Routes)
    Routes.insert(Route.Name);
  // A refusal changes m_Owners, also by the next request of the same caller.
  std::vector<uint64_t> Removed;
  for (const auto &[Id, Entry] : m_Owners)
    if (const auto Owner = Entry.Owner.lock();
        !Owner || !Routes.contains(Owner->queuedRoute()))
      Removed.push_back(Id);
  for (const uint64_t Id : Removed)
    if (const auto Found = m_Owners.find(Id); Found != m_Owners.end())
      apply(m_Queues[Found->second.Service].refuse(
          Id, "the route was removed", RemovedRetryAfter, BootClock::now()));
}

void ServiceQueues::stop() {
  m_Stopping = true;
  for (auto &[Service, Queue] : m_Queues)
    refuseAll(Service, "the process ends", StoppingRetryAfter);
}

size_t ServiceQueues::waitingBytes() const {
  size_t Sum = 0;
  for (const auto &[Service, Queue] : m_Queues)
    Sum += Queue.bytes();
  return Sum;
}

Milliseconds ServiceQueues::expectedAnswerTime(const std::string &Service,
                                               BootTime Now) {
  return m_Queues[Service].expectedAnswerTime(view(Service, Now), Now);
}

double ServiceQueues::freeSlots(const std::string &Service, BootTime Now) {
  return m_Queues[Service].freeSlots(view(Service, Now), Now);
}

size_t ServiceQueues::waitingFor(const std::string &Service) const {
  const auto Found = m_Queues.find(Service);
  return Found == m_Queues.end() ? 0 : Found->second.size();
}

} // namespace figlift::gateway
