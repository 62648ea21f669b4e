//===- Loop.cpp - One I/O thread around epoll -----------------------------===//
//
// Each iteration handles ready sockets, posted tasks and due timers, then
// flushes every affected connection once, so that the output of one iteration
// is sent in one write.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace figlift::wire {

namespace {
/// Token of the eventfd; tokens of pollables have a nonzero upper half.
constexpr uint64_t WakeToken = 0;
constexpr std::chrono::milliseconds StopTimeout{500};
} // namespace

Result<std::shared_ptr<Loop>> Loop::create() {
  int Epoll = epoll_create1(EPOLL_CLOEXEC);
  if (Epoll < 0)
    return failure(ResultCode::Internal, "epoll_create1 failed");
  int Wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.u64 = WakeToken;
  if (Wake < 0 || epoll_ctl(Epoll, EPOLL_CTL_ADD, Wake, &Event) != 0) {
    if (Wake >= 0)
      ::close(Wake);
    ::close(Epoll);
    return failure(ResultCode::Internal,
                   "cannot create or poll the eventfd of an I/O loop");
  }
  std::shared_ptr<Loop> Created(new Loop(Epoll, Wake));
  Created->m_Thread = std::thread([Raw = Created.get()] { Raw->run(); });
  return Created;
}

Loop::Loop(int Epoll, int Wake) : m_Epoll(Epoll), m_WakeEvent(Wake) {}

Loop::~Loop() {
  stop();
  ::close(m_WakeEvent);
  ::close(m_Epoll);
}

bool Loop::push(Task *NewTask) {
  Task *Head = m_Head.load(std::memory_order_relaxed);
  do {
    if (Head == &m_Closed) {
      delete NewTask;
      return false;
    }
    NewTask->Next = Head;
  } while (!m_Head.compare_exchange_weak(
      Head, NewTask, std::memory_order_release, std::memory_order_relaxed));
  // Only the push onto an empty stack wakes the thread; for the others a wakeup
  // is already pending.
  if (!Head) {
    uint64_t One = 1;
    [[maybe_unused]] ssize_t Written = ::write(m_WakeEvent, &One, sizeof(One));
  }
  return true;
}

void Loop::runTasks(Task *Head) {
  Task *Oldest = nullptr;
  while (Head) {
    Task *Next = std::exchange(Head->Next, Oldest);
    Oldest = std::exchange(Head, Next);
  }
  while (Oldest) {
    std::unique_ptr<Task> Current(Oldest);
    Oldest = Current->Next;
    Current->run();
  }
}

void Loop::stop() {
  if (m_StopRequested.exchange(true))
    return;
  post([] {});
  if (m_Thread.joinable())
    m_Thread.join();
}

bool Loop::add(int Descriptor, uint32_t Events,
               std::shared_ptr<Pollable> Target) {
  // The token distinguishes successive uses of a descriptor number: an event of
  // a closed socket in the current batch must not reach the socket that reuses
  // its number.
  uint64_t Token = (uint64_t{m_NextToken++} << 32) | uint32_t(Descriptor);
  if (m_NextToken == 0)
    m_NextToken = 1;
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Token;
  if (epoll_ctl(m_Epoll, EPOLL_CTL_ADD, Descriptor, &Event) != 0)
    return false;
  m_Entries[Descriptor] = Entry{Token, std::move(Target)};
  return true;
}

void Loop::modify(int Descriptor, uint32_t Events) {
  auto Position = m_Entries.find(Descriptor);
  if (Position == m_Entries.end())
    return;
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Position->second.Token;
  epoll_ctl(m_Epoll, EPOLL_CTL_MOD, Descriptor, &Event);
}

void Loop::remove(int Descriptor) {
  if (m_Entries.erase(Descriptor) != 0)
    epoll_ctl(m_Epoll, EPOLL_CTL_DEL, Descriptor, nullptr);
}

void Loop::flushLater(std::shared_ptr<Pollable> Target) {
  m_PendingFlushes.push_back(std::move(Target));
}

void Loop::after(LoopClock::duration Delay, std::function<void()> Work) {
  m_Timers.emplace(LoopClock::now() + Delay, std::move(Work));
}

void Loop::runTimers() {
  auto Now = LoopClock::now();
  while (!m_Timers.empty() && m_Timers.begin()->first <= Now) {
    auto Due = m_Timers.extract(m_Timers.begin());
    Due.mapped()();
  }
}

void Loop::flushAll() {
  // A flush that closes a connection may schedule another flush.
  while (!m_PendingFlushes.empty())
    for (auto &Target : std::exchange(m_PendingFlushes, {}))
      Target->flush();
}

void Loop::dispatch(uint64_t Token, uint32_t Events) {
  if (Token == WakeToken) {
    uint64_t Count = 0;
    [[maybe_unused]] ssize_t Read = ::read(m_WakeEvent, &Count, sizeof(Count));
    return;
  }
  auto Position = m_Entries.find(int(uint32_t(Token)));
  if (Position == m_Entries.end() || Position->second.Token != Token)
    return;
  auto Target = Position->second.Target;
  Target->onReady(Events);
}

int Loop::pollTimeoutMilliseconds() const {
  if (m_Timers.empty())
    return -1;
  auto Remaining = std::chrono::ceil<std::chrono::milliseconds>(
      m_Timers.begin()->first - LoopClock::now());
  return int(std::clamp<int64_t>(Remaining.count(), 0, 60'000));
}

void Loop::run() {
  std::array<epoll_event, 128> Events;
  while (!m_StopRequested.load(std::memory_order_acquire)) {
    int Count = epoll_wait(m_Epoll, Events.data(), int(Events.size()),
                           pollTimeoutMilliseconds());
    for (int I = 0; I < Count; ++I)
      dispatch(Events[size_t(I)].data.u64, Events[size_t(I)].events);
    // Sockets are handled before timers: after a pause of this process a
    // response may be in the receive buffer while its timeout is due.
    runTasks(m_Head.exchange(nullptr, std::memory_order_acquire));
    runTimers();
    flushAll();
  }
  runTasks(m_Head.exchange(nullptr, std::memory_order_acquire));
  flushAll();
  m_StopDeadline = LoopClock::now() + StopTimeout;
  for (auto &[Descriptor, Stopped] : std::exchange(m_Entries, {}))
    Stopped.Target->onLoopStop();
  // Tasks posted until now still run, with their connections already closed.
  runTasks(m_Head.exchange(&m_Closed, std::memory_order_acquire));
  m_PendingFlushes.clear();
  m_Timers.clear();
}

} // namespace figlift::wire
