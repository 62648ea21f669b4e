//===- ConfigService.cpp - Configuration of a process ---------------------===//
//
// The thread, its event queue, and the callers that wait for a revision.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ConfigService.h"

namespace figlift::config {

using namespace follower;

/// Maximum delay of the follower's timers.
static constexpr std::chrono::milliseconds TickInterval{50};

void ConfigService::Shared::post(Event Event) {
  {
    std::lock_guard Lock(Mutex);
    Events.push_back(std::move(Event));
  }
  Changed.notify_one();
}

ConfigService::ConfigService(FollowerOptions Options,
                             std::shared_ptr<ConfigSource> Source,
                             ConfigCallbacks Callbacks)
    : m_Shared(std::make_shared<Shared>()), m_Source(std::move(Source)),
      m_Callbacks(std::move(Callbacks)), m_Follower(Options) {
  m_Thread = std::thread([this] { run(); });
}

ConfigService::~ConfigService() {
  {
    std::lock_guard Lock(m_Shared->Mutex);
    m_Shared->Stopped = true;
  }
  m_Shared->Changed.notify_one();
  m_Thread.join();
  for (auto &[Revision, Pending] : m_Shared->Waiters)
    Pending.Done(false);
  m_Shared->Waiters.clear();
}

void ConfigService::push(Delta Changes) {
  m_Shared->post(ChangesPushed{std::move(Changes)});
}

void ConfigService::onCommitted(const ChangeOutcome &Outcome) {
  if (Outcome.Changes.Head > 0)
    push(Outcome.Changes);
  observeRevision(Outcome.Revision);
}

void ConfigService::observeRevision(uint64_t Revision) {
  if (Revision > m_Shared->Revision)
    return m_Shared->post(RevisionSeen{Revision});
  if (!m_Shared->PeerAlive.load(std::memory_order_relaxed))
    m_Shared->PeerAlive = true;
}

void ConfigService::whenReached(uint64_t Revision,
                                std::chrono::milliseconds Timeout,
                                std::function<void(bool)> Done) {
  observeRevision(Revision);
  {
    std::lock_guard Lock(m_Shared->Mutex);
    if (m_Shared->Revision < Revision && !m_Shared->Stopped) {
      m_Shared->Waiters.emplace(
          Revision, Waiter{BootClock::now() + Timeout, std::move(Done)});
      return;
    }
  }
  Done(m_Shared->Revision >= Revision);
}

std::deque<Event> ConfigService::takeEvents() {
  std::unique_lock Lock(m_Shared->Mutex);
  m_Shared->Changed.wait_for(Lock, TickInterval, [this] {
    return m_Shared->Stopped || !m_Shared->Events.empty();
  });
  return std::exchange(m_Shared->Events, {});
}

void ConfigService::run() {
  while (true) {
    auto Events = takeEvents();
    {
      std::lock_guard Lock(m_Shared->Mutex);
      if (m_Shared->Stopped)
        return;
    }
    if (m_Shared->PeerAlive.exchange(false))
      Events.push_back(PeerAlive{});
    Events.push_back(Tick{});
    for (const Event &Next : Events)
      for (const Action &Action : m_Follower.step(Next, BootClock::now()))
        perform(Action);
    completeWaiters(BootClock::now());
  }
}

void ConfigService::perform(const Action &Action) {
  std::visit([this](const auto &Alternative) { on(Alternative); }, Action);
}

void ConfigService::on(const PollHead &) {
  m_Source->readHead([Shared = m_Shared](Result<uint64_t> Head) {
    if (Head)
      Shared->post(HeadPolled{Head.value()});
    else
      Shared->post(StoreFailed{});
  });
}

void ConfigService::on(const FetchChanges &Action) {
  m_Source->fetchChanges(
      Action.After, [Shared = m_Shared](Result<Delta> Fetched) {
        if (Fetched)
          Shared->post(ChangesFetched{std::move(Fetched).value()});
        else
          Shared->post(StoreFailed{});
      });
}

void ConfigService::on(const FetchFromPeers &Action) {
  m_Source->fetchFromPeers(
      Action.After, Action.AskAll, [Shared = m_Shared](Result<Delta> Fetched) {
        if (Fetched)
          Shared->post(PeersFetched{std::move(Fetched).value()});
        else
          Shared->post(PeersFailed{});
      });
}

void ConfigService::on(const Publish &Action) {
  m_Shared->Cell.publish(Action.Next);
  m_Shared->Revision = Action.Next->revision();
  if (m_Callbacks.OnSnapshot)
    m_Callbacks.OnSnapshot(Action.Next);
}

void ConfigService::on(const ResumeServing &) {
  m_Shared->Serving = true;
  if (m_Callbacks.OnServing)
    m_Callbacks.OnServing(std::nullopt);
}

void ConfigService::on(const StopServing &Action) {
  m_Shared->Serving = false;
  if (m_Callbacks.OnServing)
    m_Callbacks.OnServing(Action.Reason);
}

void ConfigService::completeWaiters(BootTime Now) {
  std::vector<std::pair<std::function<void(bool)>, bool>> Completed;
  {
    std::lock_guard Lock(m_Shared->Mutex);
    uint64_t Revision = m_Shared->Revision;
    auto &Waiters = m_Shared->Waiters;
    for (auto Next = Waiters.begin(); Next != Waiters.end();) {
      bool IsReached = Next->first <= Revision;
      if (!IsReached && Now < Next->second.Deadline) {
        ++Next;
        continue;
      }
      Completed.emplace_back(std::move(Next->second.Done), IsReached);
      Next = Waiters.erase(Next);
    }
  }
  for (auto &[Done, IsReached] : Completed)
    Done(IsReached);
}

} // namespace figlift::config
