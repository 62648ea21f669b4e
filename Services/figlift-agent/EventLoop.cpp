//===- EventLoop.cpp - Event loop of the agent ----------------------------===//
//
// Uses liburcu's wait-free queue, an eventfd for wake-ups and a map of timers.
//
//===----------------------------------------------------------------------===//

#include "EventLoop.h"

#include <algorithm>
#include <cstdint>
#include <memory>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace figlift::agent {

static constexpr std::chrono::milliseconds MaximumWait{1000};

struct EventLoop::Node {
  /// First member, so that a pointer to it can be cast to a pointer to the
  /// node.
  struct cds_wfcq_node Link;
  Task Run;
};

EventLoop::EventLoop() : m_Wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  cds_wfcq_init(&m_Head, &m_Tail);
}

EventLoop::~EventLoop() {
  while (auto *Link = cds_wfcq_dequeue_blocking(&m_Head, &m_Tail))
    delete reinterpret_cast<Node *>(Link);
  close(m_Wakeup);
}

void EventLoop::post(Task Function) {
  auto *NewNode = new Node{{}, std::move(Function)};
  cds_wfcq_node_init(&NewNode->Link);
  const bool WasNonEmpty =
      cds_wfcq_enqueue(cds_wfcq_head_cast(&m_Head), &m_Tail, &NewNode->Link);
  if (WasNonEmpty)
    return;
  // Only the first task in an empty queue wakes the thread: a system call for
  // each token would cost more than processing the token.
  const uint64_t One = 1;
  [[maybe_unused]] const auto Written = write(m_Wakeup, &One, sizeof(One));
}

void EventLoop::after(std::chrono::milliseconds Delay, Task Function) {
  m_Timers.emplace(BootClock::now() + Delay, std::move(Function));
}

void EventLoop::every(std::chrono::milliseconds Period, const Task &Function) {
  after(Period, [this, Period, Function] {
    Function();
    every(Period, Function);
  });
}

void EventLoop::runPosted() {
  while (auto *Link = cds_wfcq_dequeue_blocking(&m_Head, &m_Tail)) {
    const std::unique_ptr<Node> Posted(reinterpret_cast<Node *>(Link));
    Posted->Run();
    if (m_Stopped)
      return;
  }
}

void EventLoop::runDueTimers() {
  const BootTime Now = BootClock::now();
  while (!m_Stopped && !m_Timers.empty() && m_Timers.begin()->first <= Now) {
    const Task Due = std::move(m_Timers.begin()->second);
    m_Timers.erase(m_Timers.begin());
    Due();
  }
}

void EventLoop::waitForWork() {
  auto Timeout = MaximumWait;
  if (!m_Timers.empty()) {
    const auto TimeToNext = std::chrono::ceil<std::chrono::milliseconds>(
        m_Timers.begin()->first - BootClock::now());
    Timeout = std::clamp(TimeToNext, std::chrono::milliseconds(0), MaximumWait);
  }
  pollfd WakeupPoll{m_Wakeup, POLLIN, 0};
  if (poll(&WakeupPoll, 1, static_cast<int>(Timeout.count())) <= 0)
    return;
  uint64_t Count = 0;
  [[maybe_unused]] const auto Taken = read(m_Wakeup, &Count, sizeof(Count));
}

void EventLoop::run() {
  while (!m_Stopped) {
    runPosted();
    runDueTimers();
    if (!m_Stopped)
      waitForWork();
  }
}

} // namespace figlift::agent
