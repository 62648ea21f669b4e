//===- Loop.cpp - One I/O thread around epoll -----------------------------===//
//
// Each round runs handed-over tasks, due timers and ready sockets, then
// flushes every touched connection once, so that what was queued in one round
// leaves in one write.
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
constexpr std::chrono::milliseconds StopGrace{500};
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
    return failure(ResultCode::Internal, "cannot make the loop's eventfd");
  }
  std::shared_ptr<Loop> Made(new Loop(Epoll, Wake));
  Made->m_Thread = std::thread([Raw = Made.get()] { Raw->run(); });
  return Made;
}

Loop::Loop(int Epoll, int Wake) : m_Epoll(Epoll), m_Wake(Wake) {}

Loop::~Loop() {
  stop();
  ::close(m_Wake);
  ::close(m_Epoll);
}

bool Loop::push(Task *Added) {
  Task *Head = m_Head.load(std::memory_order_relaxed);
  do {
    if (Head == &m_Closed) {
      delete Added;
      return false;
    }
    Added->Next = Head;
  } while (!m_Head.compare_exchange_weak(Head, Added, std::memory_order_release,
                                         std::memory_order_relaxed));
  // Only the push onto an empty stack wakes: the others find a wake-up that
  // was not answered yet.
  if (!Head) {
    uint64_t One = 1;
    [[maybe_unused]] ssize_t Written = ::write(m_Wake, &One, sizeof(One));
  }
  return true;
}

void Loop::runAll(Task *Head) {
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
  // The token tells a descriptor's number from its next use: an event of a
  // closed socket that sits in the same batch must not reach the new one.
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
  auto Found = m_Entries.find(Descriptor);
  if (Found == m_Entries.end())
    return;
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Found->second.Token;
  epoll_ctl(m_Epoll, EPOLL_CTL_MOD, Descriptor, &Event);
}

void Loop::remove(int Descriptor) {
  if (m_Entries.erase(Descriptor) != 0)
    epoll_ctl(m_Epoll, EPOLL_CTL_DEL, Descriptor, nullptr);
}

void Loop::flushLater(std::shared_ptr<Pollable> Target) {
  m_ToFlush.push_back(std::move(Target));
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
  // A flush that closes a connection may make another one pending.
  while (!m_ToFlush.empty())
    for (auto &Target : std::exchange(m_ToFlush, {}))
      Target->flush();
}

void Loop::dispatch(uint64_t Token, uint32_t Events) {
  if (Token == WakeToken) {
    uint64_t Count = 0;
    [[maybe_unused]] ssize_t Read = ::read(m_Wake, &Count, sizeof(Count));
    return;
  }
  auto Found = m_Entries.find(int(uint32_t(Token)));
  if (Found == m_Entries.end() || Found->second.Token != Token)
    return;
  auto Target = Found->second.Target;
  Target->onReady(Events);
}

int Loop::sleepMilliseconds() const {
  if (m_Timers.empty())
    return -1;
  auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      m_Timers.begin()->first - LoopClock::now());
  return int(std::clamp<int64_t>(Left.count(), 0, 60'000));
}

void Loop::run() {
  std::array<epoll_event, 128> Events;
  while (!m_StopRequested.load(std::memory_order_acquire)) {
    int Count = epoll_wait(m_Epoll, Events.data(), int(Events.size()),
                           sleepMilliseconds());
    for (int I = 0; I < Count; ++I)
      dispatch(Events[size_t(I)].data.u64, Events[size_t(I)].events);
    // Sockets come before timers: after a pause of this process an answer may
    // lie in the receive buffer while its timeout is due.
    runAll(m_Head.exchange(nullptr, std::memory_order_acquire));
    runTimers();
    flushAll();
  }
  runAll(m_Head.exchange(nullptr, std::memory_order_acquire));
  flushAll();
  m_StopDeadline = LoopClock::now() + StopGrace;
  for (auto &[Descriptor, Stopped] : std::exchange(m_Entries, {}))
    Stopped.Target->onLoopStop();
  // What was posted until now still runs, and finds its connection gone.
  runAll(m_Head.exchange(&m_Closed, std::memory_order_acquire));
  m_ToFlush.clear();
  m_Timers.clear();
}

} // namespace figlift::wire
