//===- Loop.cpp - Thread that makes the agent's decisions -----------------===//
//
// liburcu's wait-free queue, an eventfd to sleep on, and a map of timers.
//
//===----------------------------------------------------------------------===//

#include "Loop.h"

#include <algorithm>
#include <cstdint>
#include <memory>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace figlift::agent {

static constexpr std::chrono::milliseconds LongestWait{1000};

struct Loop::Node {
  /// First member, so that a pointer to it is a pointer to the node.
  struct cds_wfcq_node Link;
  Task What;
};

Loop::Loop() : m_Wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  cds_wfcq_init(&m_Head, &m_Tail);
}

Loop::~Loop() {
  while (auto *Link = cds_wfcq_dequeue_blocking(&m_Head, &m_Tail))
    delete reinterpret_cast<Node *>(Link);
  close(m_Wakeup);
}

void Loop::post(Task What) {
  auto *Added = new Node{{}, std::move(What)};
  cds_wfcq_node_init(&Added->Link);
  const bool HadWork =
      cds_wfcq_enqueue(cds_wfcq_head_cast(&m_Head), &m_Tail, &Added->Link);
  if (HadWork)
    return;
  // Only the first task after an empty queue wakes the thread: a system call
  // for each token would cost more than the token's work.
  const uint64_t One = 1;
  [[maybe_unused]] const auto Written = write(m_Wakeup, &One, sizeof(One));
}

void Loop::after(std::chrono::milliseconds Delay, Task What) {
  m_Timers.emplace(BootClock::now() + Delay, std::move(What));
}

void Loop::every(std::chrono::milliseconds Period, const Task &What) {
  after(Period, [this, Period, What] {
    What();
    every(Period, What);
  });
}

void Loop::runPosted() {
  while (auto *Link = cds_wfcq_dequeue_blocking(&m_Head, &m_Tail)) {
    const std::unique_ptr<Node> Taken(reinterpret_cast<Node *>(Link));
    Taken->What();
    if (m_Stopped)
      return;
  }
}

void Loop::runDue() {
  const BootTime Now = BootClock::now();
  while (!m_Stopped && !m_Timers.empty() && m_Timers.begin()->first <= Now) {
    const Task Due = std::move(m_Timers.begin()->second);
    m_Timers.erase(m_Timers.begin());
    Due();
  }
}

void Loop::waitForWork() {
  auto Wait = LongestWait;
  if (!m_Timers.empty()) {
    const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
        m_Timers.begin()->first - BootClock::now());
    Wait = std::clamp(Left, std::chrono::milliseconds(0), LongestWait);
  }
  pollfd Watched{m_Wakeup, POLLIN, 0};
  if (poll(&Watched, 1, static_cast<int>(Wait.count())) <= 0)
    return;
  uint64_t Count = 0;
  [[maybe_unused]] const auto Taken = read(m_Wakeup, &Count, sizeof(Count));
}

void Loop::run() {
  while (!m_Stopped) {
    runPosted();
    runDue();
    if (!m_Stopped)
      waitForWork();
  }
}

} // namespace figlift::agent
