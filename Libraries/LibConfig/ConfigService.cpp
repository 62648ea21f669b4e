//===- ConfigService.cpp - The configuration of a process -----------------===//
//
// The thread, its queue of events, and the waiters for a revision.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ConfigService.h"

namespace figlift::config {

using namespace follower;

/// How late a timer of the follower may be noticed.
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
  for (auto &[Revision, Waiting] : m_Shared->Waiters)
    Waiting.Done(false);
  m_Shared->Waiters.clear();
}

void ConfigService::push(Delta Changes) {
  m_Shared->post(PushedByPeer{std::move(Changes)});
}

void ConfigService::committed(const ChangeOutcome &What) {
  if (What.Changes.Head > 0)
    push(What.Changes);
  sawRevision(What.Revision);
}

void ConfigService::sawRevision(uint64_t Revision) {
  if (Revision > m_Shared->Revision)
    return m_Shared->post(SeenRevision{Revision});
  if (!m_Shared->PeerHeard.load(std::memory_order_relaxed))
    m_Shared->PeerHeard = true;
}

void ConfigService::whenReached(uint64_t Revision,
                                std::chrono::milliseconds Limit,
                                std::function<void(bool)> Done) {
  sawRevision(Revision);
  {
    std::lock_guard Lock(m_Shared->Mutex);
    if (m_Shared->Revision < Revision && !m_Shared->Stopped) {
      m_Shared->Waiters.emplace(
          Revision, Waiter{BootClock::now() + Limit, std::move(Done)});
      return;
    }
  }
  Done(m_Shared->Revision >= Revision);
}

std::deque<Event> ConfigService::nextEvents() {
  std::unique_lock Lock(m_Shared->Mutex);
  m_Shared->Changed.wait_for(Lock, TickInterval, [this] {
    return m_Shared->Stopped || !m_Shared->Events.empty();
  });
  return std::exchange(m_Shared->Events, {});
}

void ConfigService::run() {
  while (true) {
    auto Events = nextEvents();
    {
      std::lock_guard Lock(m_Shared->Mutex);
      if (m_Shared->Stopped)
        return;
    }
    if (m_Shared->PeerHeard.exchange(false))
      Events.push_back(PeerHeard{});
    Events.push_back(Tick{});
    for (const Event &Each : Events)
      for (const Action &What : m_Follower.step(Each, BootClock::now()))
        perform(What);
    releaseWaiters(BootClock::now());
  }
}

void ConfigService::perform(const Action &What) {
  std::visit([this](const auto &Each) { on(Each); }, What);
}

void ConfigService::on(const PollHead &) {
  m_Source->readHead([Shared = m_Shared](Result<uint64_t> Head) {
    if (Head)
      Shared->post(PolledHead{Head.value()});
    else
      Shared->post(StoreFailed{});
  });
}

void ConfigService::on(const FetchChanges &What) {
  m_Source->fetchChanges(
      What.After, [Shared = m_Shared](Result<Delta> Fetched) {
        if (Fetched)
          Shared->post(ChangesFetched{std::move(Fetched).value()});
        else
          Shared->post(StoreFailed{});
      });
}

void ConfigService::on(const FetchFromPeers &What) {
  m_Source->fetchFromPeers(
      What.After, What.AskAll, [Shared = m_Shared](Result<Delta> Fetched) {
        if (Fetched)
          Shared->post(PeersFetched{std::move(Fetched).value()});
        else
          Shared->post(PeersFailed{});
      });
}

void ConfigService::on(const Publish &What) {
  m_Shared->Cell.publish(What.Next);
  m_Shared->Revision = What.Next->revision();
  if (m_Callbacks.OnSnapshot)
    m_Callbacks.OnSnapshot(What.Next);
}

void ConfigService::on(const ResumeServing &) {
  m_Shared->Serving = true;
  if (m_Callbacks.OnServing)
    m_Callbacks.OnServing(std::nullopt);
}

void ConfigService::on(const StopServing &What) {
  m_Shared->Serving = false;
  if (m_Callbacks.OnServing)
    m_Callbacks.OnServing(What.Reason);
}

void ConfigService::releaseWaiters(BootTime Now) {
  std::vector<std::pair<std::function<void(bool)>, bool>> Ready;
  {
    std::lock_guard Lock(m_Shared->Mutex);
    uint64_t Reached = m_Shared->Revision;
    auto &Waiters = m_Shared->Waiters;
    for (auto Next = Waiters.begin(); Next != Waiters.end();) {
      bool Good = Next->first <= Reached;
      if (!Good && Now < Next->second.Until) {
        ++Next;
        continue;
      }
      Ready.emplace_back(std::move(Next->second.Done), Good);
      Next = Waiters.erase(Next);
    }
  }
  for (auto &[Done, Good] : Ready)
    Done(Good);
}

} // namespace figlift::config
